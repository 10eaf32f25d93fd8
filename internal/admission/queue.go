package admission

import "time"

// Queue admits requests to the pools of upstreams.
type Queue struct {
	settings Settings
}

// New returns an empty queue.
func New(s Settings) *Queue { return &Queue{settings: s} }

// SetDeferDeferrable refuses deferrable work at once while immediate or heavy
// work waits; it follows the preset in force.
func (q *Queue) SetDeferDeferrable(on bool) {}

// SetCapacity bounds a pool's concurrency from above by what its upstreams
// batch, as far as this node knows; 0 lifts the bound.
func (q *Queue) SetCapacity(pool string, requests int) {}

// Offer decides at once: run, wait, or refused with Retry-After.
func (q *Queue) Offer(r Request) Decision { return Decision{ID: r.ID, Verdict: Run} }

// Finish tells that a running request ended. Call Next afterwards.
func (q *Queue) Finish(id string, s Sample, now time.Time) {}

// Cancel forgets a waiting or running request whose caller went away. Call
// Next afterwards.
func (q *Queue) Cancel(id string, now time.Time) {}

// Next returns the waiting requests that run now and those that are refused
// now because their deadline cannot be met any more.
func (q *Queue) Next(now time.Time) []Decision { return nil }

// Wake returns when Next must be called at the latest, and false when nothing
// waits.
func (q *Queue) Wake() (time.Time, bool) { return time.Time{}, false }

// Status describes the pools, for operators and metrics.
func (q *Queue) Status() []PoolStatus { return nil }
