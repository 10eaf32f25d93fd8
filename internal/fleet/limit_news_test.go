package fleet

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/notice"
)

// limitPhase is a period in which the upstream advertises one limit.
type limitPhase struct {
	limit  notice.Limit
	begins time.Time
	ends   time.Time
}

// messageInTransit is a message between two nodes that has not arrived.
type messageInTransit struct {
	to      int
	arrives time.Time
	reports []notice.Report
}

// gossipSimulation is a limitSimulation whose nodes exchange reports: each contacts a peer
// every gossipInterval, and a message takes up to maxGossipDelay.
type gossipSimulation struct {
	*limitSimulation
	partitioned  map[int]bool
	inTransit    []messageInTransit
	nextExchange []time.Time
	lastOrigin   uint64
}

const (
	gossipInterval = 600 * time.Millisecond
	maxGossipDelay = 300 * time.Millisecond
)

func newGossipSimulation(count, others int, now time.Time) *gossipSimulation {
	s := &gossipSimulation{limitSimulation: newLimitSimulation(count, others, now), partitioned: map[int]bool{}, nextExchange: make([]time.Time, count), lastOrigin: uint64(count)}
	for i := range s.nextExchange {
		s.nextExchange[i] = now.Add(time.Duration(i) * gossipInterval / time.Duration(count))
	}
	return s
}

// exchange sends the reports of the nodes that are due and delivers messages that have
// arrived.
func (s *gossipSimulation) exchange(t *rapid.T, now time.Time) {
	s.exchangeWith(now,
		func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "peer") },
		func() time.Duration {
			return time.Duration(rapid.IntRange(1, int(maxGossipDelay/time.Millisecond)).Draw(t, "delay")) * time.Millisecond
		})
}

// exchangeWith is exchange with given draws of peers and delays.
func (s *gossipSimulation) exchangeWith(now time.Time, draw func(n int) int, delay func() time.Duration) {
	for i := range s.nodes {
		if now.Before(s.nextExchange[i]) {
			continue
		}
		s.nextExchange[i] = now.Add(gossipInterval)
		peer := draw(len(s.nodes))
		if s.partitioned[i] || s.partitioned[peer] || peer == i {
			continue
		}
		for _, direction := range [][2]int{{i, peer}, {peer, i}} {
			s.inTransit = append(s.inTransit, messageInTransit{direction[1], now.Add(delay()), s.nodes[direction[0]].Notices(now, false)})
		}
	}
	s.inTransit = slices.DeleteFunc(s.inTransit, func(m messageInTransit) bool {
		if m.arrives.After(now) {
			return false
		}
		for _, r := range m.reports {
			s.nodes[m.to].ApplyReport(r, now)
		}
		return true
	})
}

// restart replaces a node by one that knows neither the limit nor the other nodes.
func (s *gossipSimulation) restart(i int, now time.Time) {
	s.lastOrigin++
	f := New(Settings{Domain: "d0", Origin: s.lastOrigin})
	for _, u := range s.nodes[i].byID {
		f.Put(u.Record, now)
	}
	s.nodes[i], s.limitReadAt[i] = f, time.Time{}
}

// No node keeps an old limit after the upstream lowered it, although some nodes are
// partitioned, some restart, and messages are delayed.
func TestChangedLimitHoldsAcrossNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		s := newGossipSimulation(rapid.IntRange(1, 40).Draw(t, "nodes"), rapid.IntRange(0, 2).Draw(t, "others"), start)
		for i := range s.nodes {
			s.partitioned[i] = rapid.IntRange(0, 4).Draw(t, "partitioned") == 0
		}
		restarted := map[int]time.Time{}
		var phases []limitPhase
		now := start
		for range rapid.IntRange(1, 4).Draw(t, "phases") {
			p := limitPhase{begins: now, limit: notice.Limit{Named: rapid.IntRange(0, 3).Draw(t, "named") > 0}}
			if p.limit.Named {
				p.limit.PerSecond = rapid.Float64Range(0.2, 20).Draw(t, "per second")
			}
			p.ends = now.Add(time.Duration(rapid.IntRange(2000, 8000).Draw(t, "duration")) * time.Millisecond)
			for now.Before(p.ends) {
				for i := range s.nodes {
					if rapid.IntRange(0, 200).Draw(t, "restart") == 0 {
						s.restart(i, now)
						restarted[i] = now
					}
					if at, ok := restarted[i]; ok && now.Sub(at) > 2*time.Second {
						s.nodes[i].SetSenders(s.ids[i], s.ids)
					}
					for range rapid.IntRange(0, 2).Draw(t, "attempts") {
						s.attempt(i, p.limit, now)
					}
				}
				s.exchange(t, now)
				now = now.Add(time.Duration(rapid.IntRange(20, 300).Draw(t, "pause")) * time.Millisecond)
			}
			phases = append(phases, p)
		}
		for _, p := range phases {
			s.checkPhase(t, p)
		}
	})
}

// checkPhase checks the arrivals within a phase against its limit.
func (s *gossipSimulation) checkPhase(t *rapid.T, p limitPhase) {
	if !p.limit.Named {
		return
	}
	inside := slices.DeleteFunc(slices.Clone(s.countedArrivals), func(at time.Time) bool {
		return at.Before(p.begins.Add(limitGrace)) || !at.Before(p.ends)
	})
	if peak := maxWithin(inside, p.begins.Add(firstLimitGrace), boundWindow); float64(peak) > arrivalBound(p.limit.PerSecond) {
		t.Fatalf("%d requests arrive within %s at a limit of %.2f/s, the bound is %.1f", peak, boundWindow, p.limit.PerSecond, arrivalBound(p.limit.PerSecond))
	}
}

// Fails if most nodes avoid an upstream permanently, because only a few nodes send to it
// and see that its limit has ended.
func TestEndOfALimitReachesAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		s := newGossipSimulation(rapid.IntRange(1, 40).Draw(t, "nodes"), rapid.IntRange(0, 2).Draw(t, "others"), start)
		limit := notice.Limit{Named: true, PerSecond: rapid.Float64Range(0.5, 10).Draw(t, "per second")}
		now := start
		run := func(l notice.Limit, length time.Duration) {
			for end := now.Add(length); now.Before(end); now = now.Add(50 * time.Millisecond) {
				for i := range s.nodes {
					s.attempt(i, l, now)
				}
				s.exchange(t, now)
			}
		}
		run(limit, 6*time.Second)
		run(notice.Limit{}, 12*time.Second)
		for i, f := range s.nodes {
			if f.Get("needy").limited() {
				t.Fatalf("node %d still has the limit in force", i)
			}
		}
	})
}

// maxFromUninformed is the number of requests allowed from nodes that have not read the
// lowered limit yet.
const maxFromUninformed = 16

// Fails if nodes continue at the rate of the previous, higher limit, or send bursts that
// were saved up under it.
func TestLoweredLimitAppliesAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	s := newLimitSimulation(8, 0, start)
	now := start
	run := func(perSecond float64, length time.Duration) limitPhase {
		p := limitPhase{limit: notice.Limit{Named: true, PerSecond: perSecond}, begins: now, ends: now.Add(length)}
		for ; now.Before(p.ends); now = now.Add(10 * time.Millisecond) {
			for i := range s.nodes {
				s.attempt(i, p.limit, now)
			}
		}
		return p
	}
	run(40, 6*time.Second)
	now = now.Add(5 * time.Second) // limiters fill up to their bursts
	lowered := run(1, 10*time.Second)
	inside := slices.DeleteFunc(slices.Clone(s.countedArrivals), func(at time.Time) bool { return at.Before(lowered.begins) })
	if peak := maxWithin(inside, lowered.begins, boundWindow); float64(peak) > arrivalBound(1)+maxFromUninformed {
		t.Errorf("%d requests arrive within %s after the limit was lowered to 1/s", peak, boundWindow)
	}
	settled := slices.DeleteFunc(inside, func(at time.Time) bool { return at.Before(lowered.begins.Add(limitGrace)) })
	if peak := maxWithin(settled, lowered.begins, boundWindow); float64(peak) > arrivalBound(1) {
		t.Errorf("%d requests arrive within %s at a limit of 1/s, the bound is %.0f", peak, boundWindow, arrivalBound(1))
	}
}
