package canary

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// seeds is the number of runs of each simulated scenario.
const seeds = 60

// always returns a share of bad answers that does not change with time.
func always(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// A good version is completed within its time limit, and no session changes its version
// in the first half of it. The new version's requests stay within the bound.
func TestGoodVersionIsCompletedInTime(t *testing.T) {
	completed := 0
	for seed := range uint64(seeds) {
		w := newWorld(seed, 6)
		w.run()
		if w.verdict == Completed && w.verdictAfter < limit {
			completed++
		}
		if w.moved > 3 {
			t.Errorf("seed %d: %d requests moved between versions", seed, w.moved)
		}
		checkExposure(t, seed, w)
	}
	if completed < seeds*9/10 {
		t.Errorf("completed in %d of %d", completed, seeds)
	}
}

// Regression: sessions returned to the old version although the new one was good. It came
// about with a few large sessions and many second attempts. A single node saw more than
// its part of the new version's requests and turned sessions back, while the total was
// within the bound.
func TestSessionsStayOnTheNewVersion(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(seed, 6)
		w.heavyShare, w.secondAttempts = 0.4, 0.6
		w.run()
		if w.movedBack > 3 {
			t.Errorf("seed %d: %d requests moved back to the old version", seed, w.movedBack)
		}
		checkExposure(t, seed, w)
	}
}

// A good version is completed even if its requests fit into the bound only at the
// deadline. The bound is tight, and second attempts at another model use it up faster.
func TestGoodVersionIsCompletedWhereTheBoundIsTight(t *testing.T) {
	completed := 0
	tight := testSettings
	tight.ShareBound, tight.Slack = 0.0975, 10
	for seed := range uint64(seeds) {
		w := newWorld(seed, 6)
		w.replaceNodes(tight)
		w.secondAttempts = 1.0
		w.run()
		if w.verdict == Completed && w.verdictAfter < limit {
			completed++
		}
		if allowed := tight.ShareBound*float64(w.requests) + tight.Slack; float64(w.exposed) > allowed {
			t.Errorf("seed %d: %d of %d requests went to the new version, %.0f allowed", seed, w.exposed, w.requests, allowed)
		}
	}
	t.Logf("completed in %d of %d", completed, seeds)
	if completed < seeds*9/10 {
		t.Errorf("completed in %d of %d", completed, seeds)
	}
}

// Regression: a good version was rolled back because the start of its order is uncertain.
// The table has lost its history, so the order may be up to a second older. The version
// was rolled back that much before its time limit, although its requests fitted into the
// bound a moment later.
func TestGoodVersionIsCompletedWhereTheOrderMayBeOlder(t *testing.T) {
	completed := 0
	tight := testSettings
	tight.ShareBound, tight.Slack = 0.0975, 10
	for seed := range uint64(seeds) {
		w := newWorld(seed, 6)
		w.replaceNodes(tight)
		w.secondAttempts, w.late = 1.0, 1100*time.Millisecond
		w.run()
		if w.verdict == Completed && w.verdictAfter < limit {
			completed++
		}
		if allowed := tight.ShareBound*float64(w.requests) + tight.Slack; float64(w.exposed) > allowed {
			t.Errorf("seed %d: %d of %d requests went to the new version, %.0f allowed", seed, w.exposed, w.requests, allowed)
		}
	}
	t.Logf("completed in %d of %d", completed, seeds)
	if completed < seeds*9/10 {
		t.Errorf("completed in %d of %d", completed, seeds)
	}
}

// Regression: a good version was rolled back in a small deployment: 36 requests a second,
// of which at most one in ten may go to it. With a fixed share of the sessions it had
// given 14 answers at the deadline, fewer than minAnswers. A bad version stays within its
// bound, and no session changes its version early.
func TestFewRequestsAreEnoughForAVerdict(t *testing.T) {
	settings := testSettings
	settings.ShareBound = 0.0975
	for _, c := range []struct {
		name string
		bad  float64
		want Verdict
	}{{"good", 0.01, Completed}, {"bad", 0.4, RolledBack}} {
		t.Run(c.name, func(t *testing.T) {
			right := 0
			for seed := range uint64(seeds) {
				w := newWorld(seed, 18)
				w.replaceNodes(settings)
				w.rate, w.secondAttempts, w.badShare = 36, 0.4, always(c.bad)
				w.run()
				if w.verdict == c.want && w.verdictAfter < limit {
					right++
				}
				if w.moved > 3 || w.movedBack > 3 {
					t.Errorf("seed %d: %d requests moved between versions, %d back", seed, w.moved, w.movedBack)
				}
				if allowed := settings.ShareBound*float64(w.requests) + settings.Slack; float64(w.exposed) > allowed {
					t.Errorf("seed %d: %d of %d requests went to the new version, %.0f allowed", seed, w.exposed, w.requests, allowed)
				}
			}
			t.Logf("%s in %d of %d", c.want, right, seeds)
			if right < seeds*9/10 {
				t.Errorf("%s in %d of %d", c.want, right, seeds)
			}
		})
	}
}

// checkExposure fails the test if the new version got more requests than the bound
// allows.
func checkExposure(t *testing.T, seed uint64, w *world) {
	t.Helper()
	allowed := testSettings.ShareBound*float64(w.requests) + testSettings.Slack
	if float64(w.exposed) > allowed {
		t.Errorf("seed %d: %d of %d requests went to the new version, %.0f allowed", seed, w.exposed, w.requests, allowed)
	}
}

// A bad version is rolled back, and its requests stay within the bound. It fails a part
// of its answers from the start or only later.
func TestBadVersionIsRolledBack(t *testing.T) {
	tests := map[string]func(time.Duration) float64{
		"half":  always(0.5),
		"third": always(0.33),
		"late": func(after time.Duration) float64 {
			if after < 7*time.Second {
				return 0.01
			}
			return 0.5
		},
		"when all sessions come": func(after time.Duration) float64 {
			if after < limit-3*time.Second {
				return 0.01
			}
			return 0.5
		},
	}
	for name, bad := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				w := newWorld(seed, 6)
				w.badShare = bad
				w.run()
				if w.verdict != RolledBack {
					t.Errorf("seed %d: %v", seed, w.verdict)
				}
				if w.badAnswers > 50 {
					t.Errorf("seed %d: %d bad answers", seed, w.badAnswers)
				}
				checkExposure(t, seed, w)
			}
		})
	}
}

// Failures that hit both versions alike cause no rollback.
func TestFailuresOfBothVersionsCauseNoRollback(t *testing.T) {
	rolledBack := 0
	for seed := range uint64(seeds) {
		w := newWorld(seed, 6)
		w.baseBadShare = 0.3
		w.badShare = always(0.3)
		w.run()
		if w.verdict == RolledBack {
			rolledBack++
		}
	}
	if rolledBack > seeds/4 {
		t.Errorf("rolled back in %d of %d", rolledBack, seeds)
	}
}

// A new version whose answers succeed but take far longer than the old version's counts
// as bad.
func TestSlowVersionIsBad(t *testing.T) {
	is := is.New(t)
	c := New(testSettings, "n1", 1)
	now := time.Unix(1000, 0)
	answer := func(version string, pace time.Duration) {
		c.CountPace(c.Begin(Attempt{Service: serviceName, Version: version, Route: "r", Model: "m"}, true, now), pace)
	}
	for range 20 {
		answer(oldVersion, 40*time.Millisecond)
	}
	c.AddOrder(Order{Service: serviceName, Target: newVersion, Limit: limit, Revision: 1}, now)
	for range 6 {
		answer(oldVersion, 45*time.Millisecond)
		answer(newVersion, 320*time.Millisecond)
	}
	got := c.Tick(now.Add(time.Second), View{Count: func(string, string) (int, int) { return 1, 2 }})
	is.Equal(len(got), 1)
	is.Equal(got[0].Verdict, RolledBack)
	is.True(got[0].Reached)
}

// No requests may be sent to a version after its rollback. Another version is ordered
// while the bad one's upstreams still run; the old version's requests go to neither.
func TestRolledBackVersionServesNoRequests(t *testing.T) {
	is := is.New(t)
	c := New(testSettings, "n1", 1)
	now := time.Unix(1000, 0)
	c.AddOrder(Order{Service: serviceName, Target: "v2", Limit: limit, Revision: 1}, now)
	is.True(c.ApplyVerdict(serviceName, 1, RolledBack, true))
	is.True(c.AddOrder(Order{Service: serviceName, Target: "v3", Limit: limit, Revision: 2}, now))
	is.True(!c.AddOrder(Order{Service: serviceName, Target: "v2", Limit: limit, Revision: 1}, now)) // the older order again
	rule := c.Rule(serviceName, Caller{Hash: shareScale - 1}, now.Add(10*time.Second))
	is.Equal(rule.Excluded, []string{"v3", "v2"})
	is.True(!c.ApplyVerdict(serviceName, 1, Completed, true)) // a verdict of the older order
}

// All nodes keep the same verdict: the one that the table holds is final.
func TestRecordedVerdictIsFinal(t *testing.T) {
	is := is.New(t)
	c := New(testSettings, "n1", 1)
	now := time.Unix(1000, 0)
	c.AddOrder(Order{Service: serviceName, Target: newVersion, Limit: limit, Revision: 1}, now)
	is.True(c.Merge(Tally{Service: serviceName, Revision: 1, Node: "n2", Born: 1, Seq: 1, Verdict: RolledBack}, now))
	c.ApplyVerdict(serviceName, 1, Completed, true)
	is.Equal(c.Rule(serviceName, Caller{}, now), Rule{Version: newVersion})
	c.ApplyVerdict(serviceName, 1, RolledBack, false)
	is.Equal(c.Rule(serviceName, Caller{}, now), Rule{Version: newVersion})
}

// Each answer counts once, although a node's tallies arrive twice and out of order, and
// those of its earlier run are added to them.
func TestTalliesCountOnce(t *testing.T) {
	is := is.New(t)
	c := New(testSettings, "n1", 1)
	now := time.Unix(1000, 0)
	c.AddOrder(Order{Service: serviceName, Target: newVersion, Limit: limit, Revision: 1}, now)
	tally := func(born int64, seq uint64, answers int64) {
		c.Merge(Tally{Service: serviceName, Revision: 1, Node: "n2", Born: born, Seq: seq, OldInFlight: 2, Routes: []RouteCount{{Route: "r", New: answers}}}, now)
	}
	tally(1, 2, 20)
	tally(1, 1, 10)
	tally(1, 2, 20)
	tally(2, 1, 5)
	r := c.rollouts[serviceName]
	is.Equal(r.total()["r"].New, int64(25))
	is.Equal(r.oldInFlight(), 4)
	c.ClearInFlight(func(_ string, born int64) bool { return born == 2 }) // the earlier run has ended, and its attempts with it
	is.Equal(r.oldInFlight(), 2)
}

// Fails if a good version is rolled back because its trial uses only one or two
// upstreams. A long prompt then delays all of its answers. A version on trial uses
// several times its share of the upstreams, and all of them after the shift.
func TestTrialUsesSeveralUpstreams(t *testing.T) {
	is := is.New(t)
	c := New(testSettings, "n1", 1)
	now := time.Unix(1000, 0)
	is.True(c.AddOrder(Order{Service: serviceName, Target: newVersion, Limit: limit, Revision: 1}, now))
	rule := c.Rule(serviceName, Caller{Hash: 0}, now.Add(3*time.Second))
	is.Equal(rule.Version, newVersion)
	is.True(rule.UpstreamPart >= 3*testSettings.ShareBound*canaryPart)
	is.True(rule.UpstreamPart < 0.5)
	is.True(c.ApplyVerdict(serviceName, 1, Completed, true))
	is.Equal(c.Rule(serviceName, Caller{Hash: 0}, now.Add(4*time.Second)).UpstreamPart, 0.0)
}

// Fails if a session moves to the version on trial and back. One node has just served it.
// The other one has not learned of that yet, and last saw the session longer ago than its
// longest pause.
func TestSessionStaysPinnedUntilPinsArrive(t *testing.T) {
	is := is.New(t)
	a, b := New(testSettings, "n1", 1), New(testSettings, "n2", 1)
	began := time.Unix(1000, 0)
	caller := Caller{Hash: 0, Session: true}
	a.Rule(serviceName, caller, began) // began before the order
	order := Order{Service: serviceName, Target: newVersion, Limit: limit, Revision: 1}
	is.True(a.AddOrder(order, began))
	is.True(b.AddOrder(order, began))
	b.MergePins(a.Pins(began.Add(time.Second)), began.Add(time.Second))
	nearly := began.Add(testSettings.Session - 200*time.Millisecond)
	is.Equal(a.Rule(serviceName, caller, nearly).Version, "")
	is.Equal(b.Rule(serviceName, caller, nearly.Add(400*time.Millisecond)).Version, "")
}

// A good version survives crashes of its upstreams without a rollback. A quarter of all
// upstreams crashes, among them three of the seven in the trial, and their streams fail
// at once. A version that goes on failing is still rolled back.
func TestCrashesOfUpstreamsCauseNoRollback(t *testing.T) {
	for _, test := range []struct {
		name    string
		bad     bool // fails a third of its answers after the crash
		verdict Verdict
	}{{"crash", false, Open}, {"crash, then failing", true, RolledBack}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := New(testSettings, "n1", 1)
			now := time.Unix(1000, 0)
			view := View{Count: func(string, string) (int, int) { return 60, 120 }}
			is.True(c.AddOrder(Order{Service: serviceName, Target: newVersion, Limit: limit, Revision: 1}, now))
			answer := func(version string, failed bool) {
				a := c.Begin(Attempt{Service: serviceName, Version: version, Route: "r", Model: "m"}, true, now)
				if failed {
					c.CountFailure(a)
				} else {
					c.CountPace(a, 0)
				}
			}
			for range 480 {
				answer(oldVersion, false)
			}
			for i := range 15 {
				answer(newVersion, i >= 10)
			}
			now = now.Add(7 * time.Second)
			c.Tick(now, view)
			for i := range 12 { // three seconds
				now = now.Add(evaluationInterval)
				for range 40 {
					answer(oldVersion, false)
				}
				answer(newVersion, test.bad && i%2 == 0)
				answer(newVersion, false)
				c.Tick(now, view)
			}
			is.Equal(c.rollouts[serviceName].verdict, test.verdict)
		})
	}
}

// evaluationInterval is the time between two evaluations.
const evaluationInterval = 250 * time.Millisecond

// Regression: a good version was completed too late. The shift began only after the
// deadline, within shiftGrace, and half of the sessions were still held back for cold
// caches.
func TestLateShiftIsCompletedAtOnce(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	c := New(testSettings, "n1", 1)
	c.AddOrder(Order{Service: serviceName, Target: newVersion, Limit: limit, Revision: 1}, start)
	r := c.rollouts[serviceName]
	addQuickAnswers(c, 2*minAnswers, start) // the evidence that a shift needs
	r.shiftedAt = r.deadline(testSettings).Add(200 * time.Millisecond)
	decisions := c.Tick(r.shiftedAt.Add(100*time.Millisecond), View{Complete: true, Count: func(string, string) (int, int) { return 1, 2 }})
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Verdict, Completed)
}

// addQuickAnswers adds answers of both versions, half of them each, that take the same time.
func addQuickAnswers(c *Canary, answers int, start time.Time) {
	for i := range answers {
		a := c.Begin(Attempt{Service: serviceName, Version: []string{oldVersion, newVersion}[i%2], Route: "r", Model: "m"}, true, start)
		c.Start(a, start.Add(40*time.Millisecond))
		c.CountPace(a, 0)
		c.End(a, false, start)
	}
}
