package gateway

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/route"
)

// Fails if a node that stops begins an attempt that the end of its grace cuts off, or refuses one
// that would end in time.
func TestStopBeginsNoAttemptThatItCutsOff(t *testing.T) {
	const run = 2 * time.Second
	for _, c := range []struct {
		name     string
		left     time.Duration // until the end of the stop; 0 for no stop
		deadline time.Duration
		kind     route.Kind
		ran      bool
		answered bool
		want     bool
	}{
		{name: "no stop", deadline: time.Minute, want: true},
		{name: "first attempt in time", left: 3 * time.Second, deadline: time.Minute, want: true},
		{name: "first attempt too late", left: time.Second, deadline: time.Minute},
		{name: "retry too late", left: time.Second, deadline: time.Minute, kind: route.Idempotent, ran: true},
		{name: "stream that has begun goes on", left: time.Second, deadline: time.Minute, kind: route.Stream, answered: true, want: true},
		{name: "deadline within the stop", left: time.Second, deadline: 500 * time.Millisecond, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newRolloutNode("n1", nil)
				r := &route.Route{Name: "r", Kind: c.kind, MaxAttempts: 3, LatencyGoal: time.Millisecond, Resumable: true}
				for range 20 {
					n.stopBound.runTimes.observe("r", run)
				}
				j := &job{node: n, route: r, deadline: time.Now().Add(c.deadline), mayHaveRun: c.ran, answerStarted: c.answered}
				if c.left > 0 {
					n.stopBound.set(time.Now().Add(c.left))
				}
				is.New(t).Equal(j.mayAttempt(), c.want)
			})
		})
	}
}

// Fails if the upload of a request is read on although its run could no longer end within the stop,
// which may begin before or after the upload.
func TestStopEndsTheReadingOfBodies(t *testing.T) {
	for _, before := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newRolloutNode("n1", nil)
			j := &job{node: n, route: &route.Route{Name: "r", LatencyGoal: 2 * time.Second}, deadline: time.Now().Add(time.Minute)}
			end := time.Now().Add(8 * time.Second)
			if before {
				n.stopBound.set(end)
			}
			var deadline time.Time
			release := j.boundBodyByStop(func(at time.Time) error { deadline = at; return nil })
			if !before {
				n.stopBound.set(end)
			}
			synctest.Wait()
			is.True(deadline.Equal(end.Add(-2 * time.Second)))
			release()
		})
	}
}

// Fails if a stop that begins just as a body is whole sets a deadline that later ends the request, as
// if its caller had left.
func TestStopLeavesRequestsWithAWholeBodyAlone(t *testing.T) {
	for range 200 {
		synctest.Test(t, func(t *testing.T) {
			n := newRolloutNode("n1", nil)
			j := &job{node: n, route: &route.Route{Name: "r", LatencyGoal: 2 * time.Second}, deadline: time.Now().Add(time.Minute)}
			released := atomic.Bool{}
			n.stopBound.set(time.Now().Add(8 * time.Second))
			release := j.boundBodyByStop(func(time.Time) error {
				if released.Load() {
					t.Error("a read deadline was set after the body")
				}
				return nil
			})
			release()
			released.Store(true)
			synctest.Wait()
		})
	}
}
