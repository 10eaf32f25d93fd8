package sim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/admission"
	"github.com/hickorybank/hickorybank/internal/balance"
)

// Config is one run.
type Config struct {
	Deployment Deployment
	Seed       uint64
	// Length is how long callers send; results count from Warmup on.
	Length time.Duration
	Warmup time.Duration
	// CountUntil is when requests that come count no more; 0 counts all.
	CountUntil time.Duration
	// Load is the requests a second, as a part of the deployment's capacity.
	Load float64
	// Surge multiplies Load from Surge.From to Surge.Until.
	Surge Surge
	// Flood multiplies the demand of organisation 0 alone; 0 is 1.
	Flood float64
	// Faults happen to upstreams.
	Faults []Fault

	Balance   balance.Settings
	Admission admission.Settings
	// NoAdmission runs everything at once: a baseline.
	NoAdmission bool
	// PoolPerVersion gives each version its own queue and limit although all
	// engines serve all versions: a baseline.
	PoolPerVersion bool
	// LatencyOnly keeps load reports from the queue: a baseline.
	LatencyOnly bool
	// Retries is how often a node tries again after an attempt that was
	// declined or not sent.
	Retries int
	// RetryBudget bounds these; without it each is made.
	RetryBudget bool
	// CallerRetries is how often a caller comes back after a refusal or a
	// failure; it waits for Retry-After unless Impatient.
	CallerRetries int
	Impatient     bool
}

// Surge is a time of higher load.
type Surge struct {
	From, Until time.Duration
	Factor      float64
}

// FaultKind is what happens to an upstream.
type FaultKind int

// The kinds of faults.
const (
	// Slow makes each step Factor times as long.
	Slow FaultKind = iota
	// Crash drops what runs; connections are refused until the end.
	Crash
	// Declining refuses each request until the end, at once.
	Declining
	// Failing breaks off the part Factor of the requests, at once, while load
	// reports stay good.
	Failing
)

// Fault happens to some engines from From to Until.
type Fault struct {
	Kind        FaultKind
	From, Until time.Duration
	// Service says that it happens to service VMs instead of engines.
	Service bool
	// Engine is the one that it happens to; Domain, when Engine is negative,
	// names the failure domain of all that it happens to. Both negative: all.
	Engine int
	Domain int
	Factor float64
}
