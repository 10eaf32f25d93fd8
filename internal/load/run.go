package load

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// codeSaturated is the code of a job that was not sent, because MaxInFlight requests
// were running.
const codeSaturated = "load_saturated"

// resultBuffer is the capacity of the channel of results.
const resultBuffer = 1024

// Run sends the load of the settings through the lanes and returns the report. When ctx
// ends, Run stops sending and waits for the running requests. It fails if a lane does
// not start; then nothing was sent.
func Run(ctx context.Context, s Settings, lanes ...Lane) (*Report, error) {
	for _, l := range lanes {
		if err := l.Start(); err != nil {
			return nil, err
		}
	}
	r := &runner{
		settings: s, lanes: lanes, clock: startClock(),
		slots: make(chan struct{}, s.MaxInFlight), results: make(chan Result, resultBuffer),
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

// runner is the state of one run.
type runner struct {
	settings Settings
	lanes    []Lane
	clock    Clock
	slots    chan struct{}
	results  chan Result
}

// send starts each job at its time and waits for all of them.
func (r *runner) send(ctx context.Context) {
	s := r.settings
	schedule := NewSchedule(s.Mix, s.Arrivals, s.PerSecond, s.Duration, len(r.lanes), s.Seed)
	var running conc.WaitGroup
	defer running.Wait()
	for {
		job, ok := schedule.Next()
		if !ok || !r.waitUntil(ctx, job.At) {
			return
		}
		select {
		case r.slots <- struct{}{}:
			running.Go(func() { r.do(job) })
		default:
			r.results <- Result{Job: job, Started: r.clock(), Ended: r.clock(), Outcome: noAnswer, Code: codeSaturated, Check: Unchecked}
		}
	}
}

// waitUntil waits for a time and reports whether ctx is still valid. After a delay, no
// job is skipped: each starts late, and its latency counts from its scheduled time.
func (r *runner) waitUntil(ctx context.Context, at time.Duration) bool {
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

// do sends one job. It ignores the run's context, because requests that were sent run
// to their end.
func (r *runner) do(job Job) {
	defer func() { <-r.slots }()
	started := r.clock()
	result := r.lanes[job.Lane].Do(context.Background(), job, r.clock)
	result.Job = job
	result.Started = started
	r.results <- result
}
