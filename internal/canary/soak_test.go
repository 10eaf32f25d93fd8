package canary

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if a version that fails under load only is completed on its answers at low load, or if a
// good one is rolled back for the few failures that the old version has as well.
func TestVersionThatFailsUnderLoadIsRolledBack(t *testing.T) {
	for _, c := range []struct {
		name              string
		soakBad, usualBad float64
		want              Verdict
	}{
		{"bad", 0.15, 0.003, RolledBack},
		{"bad beside usual failures", 0.2, 0.02, RolledBack},
		{"good", 0.003, 0.003, Completed},
		{"good beside usual failures", 0.02, 0.02, Completed},
	} {
		t.Run(c.name, func(t *testing.T) {
			right := 0
			for seed := range uint64(seeds) {
				w := newWorld(seed, 6)
				w.delays, w.rate, w.soakBadShare = delayModel{spread: 0.8, plain: true}, 33, c.soakBad
				w.badShare, w.baseBadShare = always(c.usualBad), c.usualBad
				w.run()
				if w.verdict == c.want && w.verdictAfter < limit {
					right++
				}
				checkExposure(t, seed, w)
			}
			t.Logf("%v in %d of %d", c.want, right, seeds)
			if right < seeds*9/10 {
				t.Errorf("%v in %d of %d", c.want, right, seeds)
			}
		})
	}
}

// Fails if the soak leaves an upstream out, gives the upstreams no more load than they will have, or
// more than their slots bear.
func TestSoakLoadsTheUpstreams(t *testing.T) {
	for _, c := range []struct {
		name      string
		ofVersion int
		use       float64
		count     int
	}{
		{"idle", 4, 0.02, 1},
		{"idle, many", 1000, 0.02, 250},
		{"a quarter in use", 12, 0.25, 6},
		{"full", 12, 1.2, 12},
		{"one", 1, 0.02, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			served := map[int]bool{}
			for age := time.Duration(0); age < 4*soakSlice; age += soakSlice / 4 {
				count, first := (&Soak{Age: age}).Upstreams(c.ofVersion, c.use)
				is.Equal(count, c.count)
				for i := range count {
					served[(first+i)%c.ofVersion] = true
				}
			}
			is.Equal(len(served), c.ofVersion)
		})
	}
}

// Fails if requests of a soak are not sent together, or wait for longer than their route allows.
func TestSoakSendsRequestsTogether(t *testing.T) {
	is := is.New(t)
	const goal = 100 * time.Millisecond
	sent := map[time.Duration]bool{}
	for age := time.Duration(0); age < time.Second; age += time.Millisecond {
		wait := (&Soak{Age: age}).BatchWait(goal)
		is.True(wait > 0 && wait <= goal*3/4)
		sent[age+wait] = true
	}
	is.Equal(len(sent), 14) // once in 75 ms
	is.Equal((&Soak{Age: time.Millisecond}).BatchWait(0), time.Duration(0))
}

// Fails if a version of engines is recorded late, as its soak goes on for evidence that engines do
// not give.
func TestSoakOfEnginesEndsAtTheDeadline(t *testing.T) {
	for _, plain := range []bool{false, true} {
		is := is.New(t)
		start := time.Unix(1000, 0)
		c := New(testSettings, "n1", 1)
		c.AddOrder(Order{Service: serviceName, Target: newVersion, Limit: limit, Revision: 1}, start)
		r := c.rollouts[serviceName]
		addQuickAnswers(c, 2*minAnswers, start) // the evidence that a shift needs
		r.shiftedAt = r.deadline(testSettings).Add(-time.Second)
		view := View{Complete: true, Count: func(string, string) (int, int) { return 1, 2 }, Plain: func(string) bool { return plain }}
		is.Equal(len(c.Tick(r.deadline(testSettings), view)) > 0, !plain)
		is.Equal(len(c.Tick(r.deadline(testSettings).Add(soakGrace), view)), 1)
	}
}
