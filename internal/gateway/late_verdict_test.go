package gateway

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

// newRolloutNode returns a node that does not run and uses source as its table.
func newRolloutNode(id string, source Source) *Node {
	return New(Settings{ID: id, ExposeShare: 0.15, ExposeSlack: 30, Session: 5 * time.Second, Drain: 3 * time.Second, Apply: 3 * time.Second}, Deps{
		Source: source, Log: slog.New(slog.DiscardHandler), Metrics: telemetry.New(telemetry.Bounds{}),
	})
}

// Fails if a node that starts long after a roll-out learns of its order from a peer but not of its
// verdict, and refuses the only version that is left or uses one that was rolled back.
func TestVerdictReachesNodesThatStartLater(t *testing.T) {
	for _, test := range []struct {
		name    string
		verdict canary.Verdict
		written bool
		want    canary.Rule
	}{
		{"completed", canary.Completed, true, canary.Rule{Version: "v3"}},
		{"completed and not recorded", canary.Completed, false, canary.Rule{Version: "v3"}},
		{"rolled back", canary.RolledBack, true, canary.Rule{Excluded: []string{"v3", "v2"}}},
	} {
		for _, later := range []time.Duration{40 * time.Second, time.Hour} {
			t.Run(test.name+" "+later.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					old := newRolloutNode("n1", nil)
					old.applyRollout(canary.Order{Service: "engine", Target: "v2", Limit: 16 * time.Second, Revision: 1}, 0, fromTable)
					old.canary.ApplyVerdict("engine", 1, canary.RolledBack, true)
					old.applyRollout(canary.Order{Service: "engine", Target: "v3", Limit: 16 * time.Second, Revision: 2}, 0, fromTable)
					old.canary.ApplyVerdict("engine", 2, test.verdict, test.written)
					time.Sleep(later)
					middle, started := newRolloutNode("n2", nil), newRolloutNode("n3", nil)
					middle.receive(old.newMessage(gossip.Member{ID: "n2"}))
					started.receive(middle.Exchange(started.newMessage(gossip.Member{ID: "n2"}))) // from one that started late itself
					for _, n := range []*Node{middle, started} {
						for hash := range uint64(3) {
							is.Equal(n.canary.Rule("engine", canary.Caller{Hash: hash * 4999}, time.Now()), test.want)
						}
					}
				})
			})
		}
	}
}

// tableWithVerdict is a table that holds a verdict, open for none, and takes the first that is
// recorded.
type tableWithVerdict struct {
	Source
	held canary.Verdict
}

func (s *tableWithVerdict) Record(_ context.Context, _ canary.Order, v canary.Verdict) (canary.Verdict, error) {
	if s.held == canary.Open {
		s.held = v
	}
	return s.held, nil
}

// Fails if a node that learns of an order after its limit turns the recorded verdict round, sends
// requests to its version as if it were on trial, or leaves the order without a verdict.
func TestVerdictIsNotMadeWithoutItsTrial(t *testing.T) {
	for _, held := range []canary.Verdict{canary.Open, canary.Completed, canary.RolledBack} {
		t.Run(held.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				source := &tableWithVerdict{held: held}
				n := newRolloutNode("n1", source)
				order := canary.Order{Service: "engine", Target: "v2", Limit: 16 * time.Second, Revision: 2}
				n.receive(gossip.Message{From: "n2", Orders: []gossip.Order{{Order: order, Age: time.Minute}}})
				is.Equal(n.canary.Rule("engine", canary.Caller{}, time.Now()), canary.Rule{Excluded: []string{"v2"}})
				for began := time.Now(); n.canary.Open("engine") && time.Since(began) < time.Minute; time.Sleep(rolloutTickInterval) {
					for _, d := range n.evaluateRollouts(time.Now()) {
						n.applyDecision(t.Context(), d, map[string]time.Time{})
					}
				}
				want := held
				if held == canary.Open {
					want = canary.RolledBack
				}
				is.Equal(source.held, want)
				is.Equal(n.canary.Outcome("engine"), canary.Outcome{Verdict: want, Written: true})
			})
		})
	}
}

// Fails if a service whose verdict is lost with all nodes and the table's copy is refused for good although
// only the version in use has upstreams.
func TestLostVerdictFollowsFromTheUpstreamsThatAreLeft(t *testing.T) {
	for _, test := range []struct {
		name   string
		listed []string
		want   canary.Verdict
	}{
		{"only the new version", []string{"v2"}, canary.Completed},
		{"both versions", []string{"v1", "v2"}, canary.RolledBack},
		{"only the old version", []string{"v1"}, canary.RolledBack},
		{"no upstream", nil, canary.RolledBack},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newRolloutNode("n1", &tableWithVerdict{})
				for _, version := range test.listed {
					n.fleet.Put(fleet.Record{ID: version, Addr: version, Service: "engine", Version: version, Slots: 6}, time.Now())
				}
				order := canary.Order{Service: "engine", Target: "v2", Limit: 16 * time.Second, Revision: 2}
				n.receive(gossip.Message{From: "n2", Orders: []gossip.Order{{Order: order, Age: time.Minute}}})
				for began := time.Now(); n.canary.Open("engine") && time.Since(began) < time.Minute; time.Sleep(rolloutTickInterval) {
					for _, d := range n.evaluateRollouts(time.Now()) {
						n.applyDecision(t.Context(), d, map[string]time.Time{})
					}
				}
				is.Equal(n.canary.Outcome("engine").Verdict, test.want)
			})
		})
	}
}
