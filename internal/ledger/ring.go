package ledger

import (
	"context"
	"time"
)

// maxQueuedEvents bounds the queue of events. Posting to a full queue blocks.
const maxQueuedEvents = 256

// eventLoop runs a background task in one goroutine, which owns the state of the task.
// Other goroutines post events, which are processed one after the other.
type eventLoop struct {
	events chan func(now time.Time)
	done   chan struct{}
}

func newEventLoop() *eventLoop {
	return &eventLoop{events: make(chan func(time.Time), maxQueuedEvents), done: make(chan struct{})}
}

// post adds an event to the queue; it returns false if the loop has ended.
func (r *eventLoop) post(event func(now time.Time)) bool {
	select {
	case r.events <- event:
		return true
	case <-r.done:
		return false
	}
}

// run processes events until ctx ends. It calls step after the events that are queued,
// and at the time that the last step returned.
func (r *eventLoop) run(ctx context.Context, step func(now time.Time) (wake time.Time)) {
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

// drain processes the events that are queued, so that one step handles all of them.
func (r *eventLoop) drain() {
	for range maxQueuedEvents {
		select {
		case event := <-r.events:
			event(time.Now())
		default:
			return
		}
	}
}
