package sim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/admission"
	"github.com/hickorybank/hickorybank/internal/balance"
)

// Config configures one run. The zero values of Balance and Admission mean their
// defaults.
type Config struct {
	Deployment Deployment
	Seed       uint64
	// Duration is the time during which requests arrive. Results count requests that
	// arrive from Warmup on.
	Duration time.Duration
	Warmup   time.Duration
	// CountUntil is the time from which requests no longer count; 0 means no limit.
	CountUntil time.Duration
	// Load is the request rate as a share of the deployment's capacity.
	Load float64
	// Surge multiplies Load from Surge.From to Surge.Until.
	Surge Surge
	// FloodFactor multiplies the demand of organisation 0; 0 means 1.
	FloodFactor float64
	// Faults lists the faults of upstreams.
	Faults []Fault

	Balance   balance.Settings
	Admission admission.Settings
	// NoAdmission disables admission, so that all requests run at once: a baseline.
	NoAdmission bool
	// PoolPerVersion gives each version its own queue and limit although all engines
	// serve all versions: a baseline.
	PoolPerVersion bool
	// LatencyOnly withholds load reports from the admission queue: a baseline.
	LatencyOnly bool
	// Retries is the maximum number of retries by the node after attempts that were
	// declined or not delivered.
	Retries int
	// RetryBudget limits these retries by a retry budget.
	RetryBudget bool
	// CallerRetries is the maximum number of retries by the caller after refusals and
	// failures. The caller waits for Retry-After unless IgnoreRetryAfter is set.
	CallerRetries    int
	IgnoreRetryAfter bool
}

// Surge is an interval, From included and Until excluded, in which Factor multiplies
// the load. Factor 0 means no surge.
type Surge struct {
	From, Until time.Duration
	Factor      float64
}

// FaultKind is the kind of a fault.
type FaultKind int

// The kinds of faults.
const (
	// Slow multiplies the time of each step by Factor.
	Slow FaultKind = iota
	// Crash drops running requests; the upstream is unreachable until the end of the
	// fault.
	Crash
	// Declining refuses each request at once until the end of the fault.
	Declining
	// Failing breaks off the share Factor of the requests at once. Load reports stay
	// good.
	Failing
)

// Fault is a fault of one or more upstreams from From to Until.
type Fault struct {
	Kind        FaultKind
	From, Until time.Duration
	// Service selects service VMs instead of engines.
	Service bool
	// Engine is the index of the affected upstream. If it is negative, Domain is the
	// index of the affected failure domain. If both are negative, all upstreams are
	// affected.
	Engine int
	Domain int
	Factor float64
}
