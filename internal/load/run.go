package load

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// saturated is the code of a job that this program could not send in time.
const saturated = "load_saturated"

const resultBacklog = 1024

// Run sends the load of the settings through the lanes and reports on it. A
// context that ends stops sending; what runs is still waited for. The error is
// of a lane that does not start; nothing was sent then.
func Run(ctx context.Context, s Settings, lanes ...Lane) (*Report, error) {
	for _, l := range lanes {
		if err := l.Start(); err != nil {
			return nil, err
		}
	}
	r := &runner{
		settings: s, lanes: lanes, clock: startClock(),
		slots: make(chan struct{}, s.MaxInFlight), results: make(chan Result, resultBacklog),
	}
	figures := newFigures(s, lanes)
	var collector conc.WaitGroup
	collector.Go(func() {
		for result := range r.results {
			figures.add(&result)
		}
	})
	began := time.Now()
	r.send(ctx)
	close(r.results)
	collector.Wait()
	return figures.report(began, r.clock()), nil
}

// runner is one run.
type runner struct {
	settings Settings
	lanes    []Lane
	clock    Clock
	slots    chan struct{}
	results  chan Result
}

// send starts each job at its time and waits for all of them at the end.
func (r *runner) send(ctx context.Context) {
	s := r.settings
	schedule := NewSchedule(s.Mix, s.Arrivals, s.PerSecond, s.Duration, len(r.lanes), s.Seed)
	var running conc.WaitGroup
	defer running.Wait()
	for {
		job, ok := schedule.Next()
		if !ok || !r.awaitTime(ctx, job.At) {
			return
		}
		select {
		case r.slots <- struct{}{}:
			running.Go(func() { r.do(job) })
		default:
			r.results <- Result{Job: job, Started: r.clock(), Ended: r.clock(), Outcome: noAnswer, Code: saturated, Check: Unchecked}
		}
	}
}

// awaitTime is false when the context ends first. Going late is never made up
// for by skipping: every job starts, and its latency counts from its time.
func (r *runner) awaitTime(ctx context.Context, at time.Duration) bool {
	wait := at - r.clock()
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// do is not bound to the run's context: what was sent is waited for.
func (r *runner) do(job Job) {
	defer func() { <-r.slots }()
	started := r.clock()
	result := r.lanes[job.Lane].Do(context.Background(), job, r.clock)
	result.Job = job
	result.Started = started
	r.results <- result
}
