package route

import "time"

// Service describes a group of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the configured path of the upstreams' health check; the gateway does
	// not use it.
	HealthPath string
	// MaxConns bounds the connections to one upstream, summed over all nodes.
	MaxConns int
	// WarmUp is how long an upstream warms up after a start. WarmUpRate bounds its
	// requests per second during that time; 0 for no bound.
	WarmUp     time.Duration
	WarmUpRate float64
	// Engine is nil for a service without model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run in one batch.
	Slots int
	// TokenCapacity is the capacity for tokens of prompts and answers.
	TokenCapacity int
	Models        []Model
}

// Model is a model that an engine can run.
type Model struct {
	Name string
	// Cost is the price of 1,000 generated tokens; an input token costs a quarter of
	// a generated one.
	Cost float64
}

// Limits are the configured limits on callers' requests and connections. The gateway
// applies BodyBytes and IdleTimeout.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the limit on reading a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the wait for the next request on a connection.
	IdleTimeout time.Duration
}

// Organisation is a customer, identified by its API keys.
type Organisation struct {
	Name string
	// Keys are the organisation's API keys.
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions restricts the regions that may run the organisation's requests; empty for
	// no restriction.
	Regions []string
}
