package notice

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func named(perSecond float64) Limit { return Limit{Named: true, PerSecond: perSecond} }

// answer takes an answer that names a limit, or none, and returns what that has changed.
func (r *Register) answer(start string, l Limit, read, now time.Time) ChangeKind {
	return kindOf(r.Answer(r.Of(start), Answer{Limit: l}, read, now))
}

func kindOf(changes []Change) ChangeKind {
	if len(changes) == 0 {
		return None
	}
	return changes[0].Kind
}

// TestLaterAnswerCounts guards against a limit that comes back with an answer that was given
// before the one that ended it, and read after it.
func TestLaterAnswerCounts(t *testing.T) {
	is := is.New(t)
	r := NewRegister(1)
	s := r.Of("u@1")
	is.Equal(r.answer("u@1", named(2), at(0), at(0)), LimitBegan)
	is.Equal(r.answer("u@1", Limit{}, at(200), at(200)), LimitEnded)
	is.Equal(r.answer("u@1", named(2), at(100), at(300)), None)
	is.True(!s.Limit().Named)
	late := Report{Start: "u@1", Origin: 2, Seq: 1, Age: 250 * time.Millisecond, Limit: named(2)}
	is.Equal(kindOf(r.Take(late, at(400))), None) // read at 150 ms
	is.True(!s.Limit().Named)
}

// TestReportThatTravelsStaysAsOld guards against a limit that two nodes tell each other and
// that outlives its end, as it is younger each time by its way.
func TestReportThatTravelsStaysAsOld(t *testing.T) {
	is := is.New(t)
	a, b := NewRegister(1), NewRegister(2)
	a.answer("u@1", named(2), at(0), at(0))
	for i := range 20 { // each way takes 100 ms
		sent := at(i * 200)
		b.Take(a.Reports(sent, true)[0], sent.Add(100*time.Millisecond))
		a.Take(b.Reports(sent.Add(100*time.Millisecond), true)[0], sent.Add(200*time.Millisecond))
	}
	ended := Report{Start: "u@1", Origin: 3, Seq: 1, Age: 3500 * time.Millisecond}
	is.Equal(kindOf(a.Take(ended, at(4000))), LimitEnded) // read at 500 ms
	is.Equal(kindOf(b.Take(ended, at(4000))), LimitEnded)
}

// TestNodeThatMissedTheEndIsTold guards against a limit that stays for good at a node that
// was cut off when it ended, and that it brings back to the others.
func TestNodeThatMissedTheEndIsTold(t *testing.T) {
	is := is.New(t)
	knows, missed := NewRegister(1), NewRegister(2)
	missed.answer("u@1", named(2), at(0), at(0))
	knows.answer("u@1", Limit{}, at(60_000), at(60_000))
	is.Equal(len(knows.Reports(at(70_000), true)), 0)
	for _, p := range missed.Reports(at(70_000), false) {
		is.Equal(kindOf(knows.Take(p, at(70_000))), None)
	}
	for _, p := range knows.Reports(at(70_010), false) {
		missed.Take(p, at(70_020))
	}
	is.True(!missed.Of("u@1").Limit().Named)
}

// TestReportsAreBounded guards against news that grow with the upstreams in need, and
// against some of them that are never told.
func TestReportsAreBounded(t *testing.T) {
	is := is.New(t)
	const count = 50
	r := NewRegister(1)
	for i := range count {
		r.answer(fmt.Sprintf("u%02d@1", i), named(2), at(0), at(0))
	}
	is.Equal(len(r.Reports(at(1), false)), mostFresh)
	is.Equal(len(r.Reports(at(1), true)), count)
	told := map[string]bool{}
	for i := range count/mostRepeated + 1 {
		some := r.Reports(at(10_000+i), false)
		is.Equal(len(some), mostRepeated)
		for _, p := range some {
			told[p.Start] = true
		}
	}
	is.Equal(len(told), count)
}

// TestStateOfAStartThatIsGone guards against states that pile up with the upstreams that
// come and go, and against one that is forgotten while its upstream is listed.
func TestStateOfAStartThatIsGone(t *testing.T) {
	is := is.New(t)
	r := NewRegister(1)
	r.answer("gone@1", named(2), at(0), at(0))
	r.answer("listed@1", named(2), at(0), at(0))
	later := at(0).Add(forgetAfter + time.Second)
	r.Sweep(later, func(start string) bool { return start == "listed@1" })
	is.Equal(r.Limited(), 1)
	is.Equal(len(r.states), 1)
}

// TestLeavingIsNotToldForGood guards against news that two nodes keep telling each other, as
// each hears again what it has told.
func TestLeavingIsNotToldForGood(t *testing.T) {
	is := is.New(t)
	a, b := NewRegister(1), NewRegister(2)
	a.Answer(a.Of("u@1"), Answer{Leaving: true}, at(0), at(0))
	now := at(0)
	for range 600 { // ten minutes
		for _, p := range a.Reports(now, false) {
			b.Take(p, now)
		}
		for _, p := range b.Reports(now, false) {
			a.Take(p, now)
		}
		now = now.Add(time.Second)
	}
	is.Equal(len(a.Reports(now, true))+len(b.Reports(now, true)), 0)
	is.True(b.Of("u@1").Leaving()) // it holds all the same
	b.Sweep(now.Add(forgetAfter), func(string) bool { return false })
	is.Equal(len(b.states), 0)
}

// TestLeavingHeardOfSaysNothingOfALimit guards against a node that has only heard that an
// upstream leaves, and tells as if it had read an answer without a limit.
func TestLeavingHeardOfSaysNothingOfALimit(t *testing.T) {
	is := is.New(t)
	a, b, c := NewRegister(1), NewRegister(2), NewRegister(3)
	b.Take(Report{Start: "u@1", Origin: 1, Seq: 1, Age: noAnswer, Leaving: true}, at(0))
	is.Equal(b.Reports(at(1), false)[0].Age, time.Duration(noAnswer))
	c.answer("u@1", named(2), at(0), at(0))
	c.Take(b.Reports(at(2), false)[0], at(3))
	is.True(c.Of("u@1").Limit().Named)
	is.True(c.Of("u@1").Leaving())
	is.Equal(a.Limited(), 0)
}
