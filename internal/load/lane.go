package load

import (
	"context"
	"time"
)

// Lane is a way for jobs to go.
type Lane interface {
	// Name stands in the report.
	Name() string
	// Start prepares the lane.
	Start() error
	// Do sends one job and waits for what becomes of it. It fills in all of
	// the result but Job and Started.
	Do(ctx context.Context, job Job, clock Clock) Result
	// Close releases the connections.
	Close()
}

// Clock tells the time since the beginning of the run.
type Clock func() time.Duration

func startClock() Clock {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}
