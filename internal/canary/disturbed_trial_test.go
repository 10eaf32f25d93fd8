package canary

import (
	"fmt"
	"testing"
	"time"
)

// disturbances are what may happen to the nodes during a trial.
var disturbances = []struct {
	name string
	at   time.Duration
	do   func(w *world)
}{
	{"half of the nodes start with the order", time.Millisecond, restartHalf},
	{"half of the nodes restart in the trial", 9 * time.Second, restartHalf},
	{"the order is written again", 9 * time.Second, func(w *world) {
		w.revision++
		for _, c := range w.nodes {
			c.Renew(w.order())
		}
	}},
	{"a peer counts more slow answers than attempts", 9 * time.Second, func(w *world) { w.addNonsense(delayGrades - 1) }},
	{"a peer counts more quick answers than attempts", 9 * time.Second, func(w *world) { w.addNonsense(0) }},
}

// restartHalf replaces every second node by a new run of it, which knows no delays.
func restartHalf(w *world) {
	for i := 1; i < len(w.nodes); i += 2 {
		w.nodes[i] = New(testSettings, fmt.Sprintf("n%d", i), 2)
		w.nodes[i].AddOrder(w.order(), w.start)
	}
}

// addNonsense gives all nodes the tally of a peer that counts a thousand answers of ten attempts.
func (w *world) addNonsense(grade int) {
	t := Tally{Service: serviceName, Revision: w.revision, Node: "broken", Born: 1, Seq: 1, Requests: 100, Attempts: 100, Exposed: 10}
	count := RouteCount{Route: "long", New: 1000}
	count.Delays[Wait].New[grade] = 1000
	t.Routes = []RouteCount{count}
	t.Classes[0][Wait][grade] = 1000
	for _, c := range w.nodes {
		c.Merge(t, w.now)
	}
}

// Fails if what happens to nodes during a trial changes its verdict.
func TestDisturbedTrialHasTheRightVerdict(t *testing.T) {
	for _, d := range disturbances {
		for _, v := range []struct {
			name   string
			delays delayModel
			want   Verdict
			// wrong is the part of the seeds that may end otherwise, as without a disturbance.
			wrong float64
		}{
			{"good", usualDelays, Completed, 0.1},
			{"slower", delayModel{spread: 0.8, slow: slowSince(0, 0.5, 8)}, RolledBack, 0.02},
			{"slower late", delayModel{spread: 0.8, slow: slowSince(12*time.Second, 0.5, 8)}, RolledBack, 0.02},
		} {
			t.Run(d.name+"/"+v.name, func(t *testing.T) {
				t.Parallel()
				wrong, seeds := 0, (runs()+2)/3
				for seed := range seeds {
					w := newWorld(seed, 6)
					w.delays = v.delays
					w.due.add(w.start.Add(d.at), func() { d.do(w) })
					w.run()
					checkExposure(t, seed, w)
					if !w.hasEnded(v.want) {
						t.Logf("seed %d: %v after %v, want %v before %v", seed, w.verdict, w.verdictAfter, v.want, limit)
						wrong++
					}
				}
				if float64(wrong) > v.wrong*float64(seeds) {
					t.Errorf("%d of %d verdicts are wrong", wrong, seeds)
				}
			})
		}
	}
}

// Fails if a version that was rolled back cannot be completed once it is mended, or is completed
// unmended.
func TestVersionIsJudgedAnewAfterItsRollback(t *testing.T) {
	for seed := range (runs() + 2) / 3 {
		w := newWorld(seed, 6)
		slower := delayModel{spread: 0.8, slow: slowSince(0, 0.5, 8)}
		for _, delays := range []delayModel{slower, slower, usualDelays} {
			want := Completed
			if delays.slow != nil {
				want = RolledBack
			}
			w.delays, w.verdict, w.requests, w.exposed = delays, Open, 0, 0
			w.run()
			checkExposure(t, seed, w)
			if !w.hasEnded(want) {
				t.Errorf("seed %d, revision %d: %v after %v, want %v before %v", seed, w.revision, w.verdict, w.verdictAfter, want, limit)
			}
			w.start = w.now.Add(10 * time.Second)
			w.revision++
		}
	}
}

// hasEnded reports whether the roll-out had the verdict within its limit.
func (w *world) hasEnded(want Verdict) bool { return w.verdict == want && w.verdictAfter < limit }
