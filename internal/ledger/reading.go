package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/pace"
)

const (
	// maxReadGap is the maximum gap between reads, while a store keeps refusing.
	maxReadGap = 500 * time.Millisecond
	// readRetryTime is how long a read is retried. Together with pageTime it must be
	// shorter than the time limit of an operator's request.
	readRetryTime = 5 * time.Second
)

// ErrReading means that bills could not be read at present. None is lost. If the same
// page is requested again soon, the part that was already read is not read again.
var ErrReading = eris.New("the store does not let bills be read now; ask again for the same page")

// readLimiter limits the rate of all reads of bills by this node. Refusals by the platform
// lower the rate. Without it, a listing after an outage requests thousands of objects at
// once, is refused, and uses up the rate limit that requests need, again with each retry.
type readLimiter struct {
	mu   sync.Mutex
	pace *pace.Pace
}

func newReadLimiter(perSecond float64) *readLimiter {
	return &readLimiter{pace: pace.NewSteady(writeGap(1, perSecond), maxReadGap)}
}

// do retries a read until it succeeds, readRetryTime is over, or ctx ends. The error is
// a readError.
func (r *readLimiter) do(ctx context.Context, read func(ctx context.Context) error) error {
	end := time.Now().Add(readRetryTime)
	for {
		if err := r.wait(ctx); err != nil {
			return &readError{err}
		}
		err := read(ctx)
		r.recordResult(err)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return &readError{err}
		}
	}
}

// wait waits until the next read is allowed.
func (r *readLimiter) wait(ctx context.Context) error {
	r.mu.Lock()
	now := time.Now()
	at := r.pace.Next()
	if at.Before(now) {
		at = now
	}
	r.pace.Sent(at)
	r.mu.Unlock()
	timer := time.NewTimer(at.Sub(now))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (r *readLimiter) recordResult(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.pace.Failed(time.Now())
		return
	}
	r.pace.Succeeded()
}

// readError is [ErrReading] with its cause.
type readError struct{ cause error }

func (e *readError) Error() string { return ErrReading.Error() + ": " + e.cause.Error() }

func (e *readError) Unwrap() []error { return []error{ErrReading, e.cause} }
