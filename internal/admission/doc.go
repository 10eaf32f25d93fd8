// Package admission decides which requests run, wait or are refused.
//
// Its types are cores without I/O: they take events with their time and return
// decisions. They have no goroutine, clock or lock; one goroutine owns each, or
// its caller locks around each method. A node holds one [Queue] for all its
// pools, one [RetryBudget], and one [RateLimiter] for organisations' limits
// that hold over all nodes; a [RateHolder] re-divides these limits.
package admission
