// Package admission decides which requests run, wait or are refused.
//
// Its types do no I/O and have no goroutine, clock or lock: callers pass in events with
// their time and receive decisions. Their methods are not safe for concurrent use. A node
// has one [Queue] for all its pools and one [RetryBudget]. One [RateLimiter] enforces the
// organisations' limits that apply across all nodes, and a [RateHolder] divides such
// limits among the nodes, directly or through the [RateCollector] of each failure domain.
package admission
