package ledger

import (
	"context"
	"time"
)

// ringSize bounds the events that wait for a duty; who brings more, waits.
const ringSize = 256

// ring joins the outside to a duty: a goroutine that owns a decision core and
// takes one event after the other.
type ring struct {
	events chan func(now time.Time)
	done   chan struct{}
}

func newRing() *ring {
	return &ring{events: make(chan func(time.Time), ringSize), done: make(chan struct{})}
}

// post hands over an event; false means that the duty has ended.
func (r *ring) post(event func(now time.Time)) bool {
	select {
	case r.events <- event:
		return true
	case <-r.done:
		return false
	}
}

// run takes events until ctx ends. After each, and at the time that it asked
// for, step is called.
func (r *ring) run(ctx context.Context, step func(now time.Time) (wake time.Time)) {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-r.events:
			event(time.Now())
			r.drain()
		case <-timer.C:
		}
		now := time.Now()
		if wake := step(now); !wake.IsZero() {
			timer.Reset(max(0, wake.Sub(now)))
		}
	}
}

// drain takes the events that are there, so that they are decided together.
func (r *ring) drain() {
	for range ringSize {
		select {
		case event := <-r.events:
			event(time.Now())
		default:
			return
		}
	}
}
