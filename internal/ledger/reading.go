package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/pace"
)

const (
	// maxReadGap is the widest gap, for a store that keeps refusing.
	maxReadGap = 500 * time.Millisecond
	// readPatience is for how long a read is tried. With pageTime it must stay
	// below what an operator's request may take.
	readPatience = 5 * time.Second
)

// ErrReading says that bills could not be read now. None is lost; what was read
// already is not read again when the same page is asked for soon.
var ErrReading = eris.New("the store does not let bills be read now; ask again for the same page")

// reading lets reads of bills go one after the other, at a pace that all of
// this node share and that the platform's refusals slow down. Without it, a
// listing after an outage asks for thousands of objects at once, is refused,
// and takes the reads that requests need; its next try does the same.
type reading struct {
	mu   sync.Mutex
	pace *pace.Pace
}

func newReading(perSecond float64) *reading {
	return &reading{pace: pace.NewSteady(gap(1, perSecond), maxReadGap)}
}

// try makes a read until it succeeds, the patience is over, or ctx ends.
func (r *reading) try(ctx context.Context, read func(ctx context.Context) error) error {
	end := time.Now().Add(readPatience)
	for {
		if err := r.turn(ctx); err != nil {
			return &readError{err}
		}
		err := read(ctx)
		r.ended(err)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(end) {
			return &readError{err}
		}
	}
}

// turn waits until the next read may go.
func (r *reading) turn(ctx context.Context) error {
	r.mu.Lock()
	now := time.Now()
	at := r.pace.Next()
	if at.Before(now) {
		at = now
	}
	r.pace.Took(at)
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

func (r *reading) ended(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.pace.Failed(time.Now())
		return
	}
	r.pace.Succeeded()
}

// readError is [ErrReading] with what the platform said.
type readError struct{ cause error }

func (e *readError) Error() string { return ErrReading.Error() + ": " + e.cause.Error() }

func (e *readError) Unwrap() []error { return []error{ErrReading, e.cause} }
