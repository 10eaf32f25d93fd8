package load

import (
	"context"
	"time"
)

// Lane is a path on which jobs are sent.
type Lane interface {
	// Name returns the name of the lane in the report.
	Name() string
	// Start prepares the lane. After an error, nothing can be sent.
	Start() error
	// Do sends one job and waits for its end. It fills in all fields of the result
	// except Job and Started.
	Do(ctx context.Context, job Job, clock Clock) Result
	// Close releases the lane's connections.
	Close()
}

// Clock returns the time since the beginning of the run.
type Clock func() time.Duration

func startClock() Clock {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}
