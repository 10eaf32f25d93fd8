package route

import "time"

// Service is what a group of upstreams offers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections to one upstream from all nodes together.
	MaxConns int
	// WarmUp is how long an upstream warms up after a start; WarmUpRate is how many
	// requests a second it bears meanwhile, 0 for no bound.
	WarmUp     time.Duration
	WarmUpRate float64
	// Engine is set for model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests run in one batch.
	Slots int
	// Memory is the room for tokens of prompts and answers.
	Memory int
	Models []Model
}

// Model is one of an engine's models.
type Model struct {
	Name string
	// Cost is the price of 1,000 generated tokens; a token read costs a quarter.
	Cost float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is a holder of keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority ranks the organisation's requests in place of the route's, if
	// HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are those that may run the organisation's requests; none for all.
	Regions []string
}
