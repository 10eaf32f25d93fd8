package notice

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func limitOf(perSecond float64) Limit { return Limit{Named: true, PerSecond: perSecond} }

// applyLimit applies a response with a limit, or none, and returns the resulting change.
func (r *Register) applyLimit(incarnation string, l Limit, read, now time.Time) ChangeKind {
	return kindOf(r.ApplyResponse(r.StateOf(incarnation), Response{Limit: l}, read, now))
}

func kindOf(changes []Change) ChangeKind {
	if len(changes) == 0 {
		return None
	}
	return changes[0].Kind
}

// A limit that has ended stays ended when an older response is processed after the
// response that ended it.
func TestOlderResponseDoesNotOverrideNewer(t *testing.T) {
	is := is.New(t)
	r := NewRegister(1)
	s := r.StateOf("u@1")
	is.Equal(r.applyLimit("u@1", limitOf(2), at(0), at(0)), LimitBegan)
	is.Equal(r.applyLimit("u@1", Limit{}, at(200), at(200)), LimitEnded)
	is.Equal(r.applyLimit("u@1", limitOf(2), at(100), at(300)), None)
	is.True(!s.Limit().Named)
	late := Report{Start: "u@1", Origin: 2, Seq: 1, Age: 250 * time.Millisecond, Limit: limitOf(2)}
	is.Equal(kindOf(r.ApplyReport(late, at(400))), None) // read at 150 ms
	is.True(!s.Limit().Named)
}

// Fails if a limit outlives its end because two nodes relay it to each other and its age
// decreases with each hop.
func TestRelayedReportKeepsItsAge(t *testing.T) {
	is := is.New(t)
	a, b := NewRegister(1), NewRegister(2)
	a.applyLimit("u@1", limitOf(2), at(0), at(0))
	for i := range 20 { // each hop takes 100 ms
		sent := at(i * 200)
		b.ApplyReport(a.Reports(sent, true)[0], sent.Add(100*time.Millisecond))
		a.ApplyReport(b.Reports(sent.Add(100*time.Millisecond), true)[0], sent.Add(200*time.Millisecond))
	}
	ended := Report{Start: "u@1", Origin: 3, Seq: 1, Age: 3500 * time.Millisecond}
	is.Equal(kindOf(a.ApplyReport(ended, at(4000))), LimitEnded) // read at 500 ms
	is.Equal(kindOf(b.ApplyReport(ended, at(4000))), LimitEnded)
}

// Without a correction, a limit persists at a node which was partitioned when the limit
// ended, and this node spreads it again.
func TestNodeThatMissedTheEndOfALimitIsCorrected(t *testing.T) {
	is := is.New(t)
	informed, outdated := NewRegister(1), NewRegister(2)
	outdated.applyLimit("u@1", limitOf(2), at(0), at(0))
	informed.applyLimit("u@1", Limit{}, at(60_000), at(60_000))
	is.Equal(len(informed.Reports(at(70_000), true)), 0)
	for _, p := range outdated.Reports(at(70_000), false) {
		is.Equal(kindOf(informed.ApplyReport(p, at(70_000))), None)
	}
	for _, p := range informed.Reports(at(70_010), false) {
		outdated.ApplyReport(p, at(70_020))
	}
	is.True(!outdated.StateOf("u@1").Limit().Named)
}

// Fails if messages grow with the number of limited upstreams, or if some states are
// never repeated.
func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	const count = 50
	r := NewRegister(1)
	for i := range count {
		r.applyLimit(fmt.Sprintf("u%02d@1", i), limitOf(2), at(0), at(0))
	}
	is.Equal(len(r.Reports(at(1), false)), maxFresh)
	is.Equal(len(r.Reports(at(1), true)), count)
	reported := map[string]bool{}
	for i := range count/maxRepeated + 1 {
		batch := r.Reports(at(10_000+i), false)
		is.Equal(len(batch), maxRepeated)
		for _, p := range batch {
			reported[p.Start] = true
		}
	}
	is.Equal(len(reported), count)
}

// States do not accumulate as upstreams come and go, but a state is kept while its
// upstream is still listed.
func TestSweepForgetsOnlyUnlistedIncarnations(t *testing.T) {
	is := is.New(t)
	r := NewRegister(1)
	r.applyLimit("gone@1", limitOf(2), at(0), at(0))
	r.applyLimit("listed@1", limitOf(2), at(0), at(0))
	later := at(0).Add(forgetAfter + time.Second)
	r.Sweep(later, func(incarnation string) bool { return incarnation == "listed@1" })
	is.Equal(r.Limited(), 1)
	is.Equal(len(r.states), 1)
}

// Fails if two nodes report an announced shutdown to each other without end, because each
// report counts as an update.
func TestLeavingIsReportedForALimitedTime(t *testing.T) {
	is := is.New(t)
	a, b := NewRegister(1), NewRegister(2)
	a.ApplyResponse(a.StateOf("u@1"), Response{Leaving: true}, at(0), at(0))
	now := at(0)
	for range 600 { // ten minutes
		for _, p := range a.Reports(now, false) {
			b.ApplyReport(p, now)
		}
		for _, p := range b.Reports(now, false) {
			a.ApplyReport(p, now)
		}
		now = now.Add(time.Second)
	}
	is.Equal(len(a.Reports(now, true))+len(b.Reports(now, true)), 0)
	is.True(b.StateOf("u@1").Leaving()) // the state itself stays
	b.Sweep(now.Add(forgetAfter), func(string) bool { return false })
	is.Equal(len(b.states), 0)
}

// A node that knows of a shutdown only through a report must not relay it like a response
// without a limit, which would end the limit at other nodes.
func TestReportWithoutResponseKeepsTheLimit(t *testing.T) {
	is := is.New(t)
	a, b, c := NewRegister(1), NewRegister(2), NewRegister(3)
	b.ApplyReport(Report{Start: "u@1", Origin: 1, Seq: 1, Age: noResponse, Leaving: true}, at(0))
	is.Equal(b.Reports(at(1), false)[0].Age, time.Duration(noResponse))
	c.applyLimit("u@1", limitOf(2), at(0), at(0))
	c.ApplyReport(b.Reports(at(2), false)[0], at(3))
	is.True(c.StateOf("u@1").Limit().Named)
	is.True(c.StateOf("u@1").Leaving())
	is.Equal(a.Limited(), 0)
}
