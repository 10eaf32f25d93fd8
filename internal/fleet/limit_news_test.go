package fleet

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/notice"
)

// limitPhase is a span in which the upstream says the same of its limit.
type limitPhase struct {
	limit  notice.Limit
	begins time.Time
	ends   time.Time
}

// newsOnItsWay is a message between two nodes.
type newsOnItsWay struct {
	to      int
	arrives time.Time
	reports []notice.Report
}

// newsWorld is a limitWorld whose nodes tell each other what they have read: each exchanges
// news with a peer every newsPause, and a message takes up to newsDelay.
type newsWorld struct {
	*limitWorld
	cut     map[int]bool
	on      []newsOnItsWay
	next    []time.Time
	origins uint64
}

const (
	newsPause = 600 * time.Millisecond
	newsDelay = 300 * time.Millisecond
)

func newNewsWorld(count, others int, now time.Time) *newsWorld {
	w := &newsWorld{limitWorld: newLimitWorld(count, others, now), cut: map[int]bool{}, next: make([]time.Time, count), origins: uint64(count)}
	for i := range w.next {
		w.next[i] = now.Add(time.Duration(i) * newsPause / time.Duration(count))
	}
	return w
}

// exchange has the nodes whose turn it is send news, and delivers what has come.
func (w *newsWorld) exchange(t *rapid.T, now time.Time) {
	w.exchangeBy(now,
		func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "peer") },
		func() time.Duration {
			return time.Duration(rapid.IntRange(1, int(newsDelay/time.Millisecond)).Draw(t, "delay")) * time.Millisecond
		})
}

// exchangeBy does so with draws of peers and of delays.
func (w *newsWorld) exchangeBy(now time.Time, draw func(n int) int, delay func() time.Duration) {
	for i := range w.nodes {
		if now.Before(w.next[i]) {
			continue
		}
		w.next[i] = now.Add(newsPause)
		peer := draw(len(w.nodes))
		if w.cut[i] || w.cut[peer] || peer == i {
			continue
		}
		for _, way := range [][2]int{{i, peer}, {peer, i}} {
			w.on = append(w.on, newsOnItsWay{way[1], now.Add(delay()), w.nodes[way[0]].Notices(now, false)})
		}
	}
	w.on = slices.DeleteFunc(w.on, func(m newsOnItsWay) bool {
		if m.arrives.After(now) {
			return false
		}
		for _, r := range m.reports {
			w.nodes[m.to].TakeNotice(r, now)
		}
		return true
	})
}

// restart has a node begin anew: it knows neither the limit nor the other nodes.
func (w *newsWorld) restart(i int, now time.Time) {
	w.origins++
	f := New(Settings{Domain: "d0", Origin: w.origins})
	for _, u := range w.nodes[i].byID {
		f.Put(u.Record, now)
	}
	w.nodes[i], w.toldAt[i] = f, time.Time{}
}

// TestLimitThatChangesHoldsOverAllNodes guards against a limit that was lowered and is kept
// as it was before by nodes that heard of it late: some are cut off from the others, some
// start again, and news take their time.
func TestLimitThatChangesHoldsOverAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		w := newNewsWorld(rapid.IntRange(1, 40).Draw(t, "nodes"), rapid.IntRange(0, 2).Draw(t, "others"), start)
		for i := range w.nodes {
			w.cut[i] = rapid.IntRange(0, 4).Draw(t, "cut") == 0
		}
		restarted := map[int]time.Time{}
		var phases []limitPhase
		now := start
		for range rapid.IntRange(1, 4).Draw(t, "phases") {
			p := limitPhase{begins: now, limit: notice.Limit{Named: rapid.IntRange(0, 3).Draw(t, "named") > 0}}
			if p.limit.Named {
				p.limit.PerSecond = rapid.Float64Range(0.2, 20).Draw(t, "per second")
			}
			p.ends = now.Add(time.Duration(rapid.IntRange(2000, 8000).Draw(t, "length")) * time.Millisecond)
			for now.Before(p.ends) {
				for i := range w.nodes {
					if rapid.IntRange(0, 200).Draw(t, "restart") == 0 {
						w.restart(i, now)
						restarted[i] = now
					}
					if at, ok := restarted[i]; ok && now.Sub(at) > 2*time.Second {
						w.nodes[i].SetSenders(w.ids[i], w.ids)
					}
					for range rapid.IntRange(0, 2).Draw(t, "attempts") {
						w.attempt(i, p.limit, now)
					}
				}
				w.exchange(t, now)
				now = now.Add(time.Duration(rapid.IntRange(20, 300).Draw(t, "pause")) * time.Millisecond)
			}
			phases = append(phases, p)
		}
		for _, p := range phases {
			w.checkPhase(t, p)
		}
	})
}

// checkPhase holds the arrivals inside a phase to its limit.
func (w *newsWorld) checkPhase(t *rapid.T, p limitPhase) {
	if !p.limit.Named {
		return
	}
	inside := slices.DeleteFunc(slices.Clone(w.counted), func(at time.Time) bool {
		return at.Before(p.begins.Add(toldAfter)) || !at.Before(p.ends)
	})
	if most := mostWithin(inside, p.begins.Add(firstAfter), boundWindow); float64(most) > arrivalBound(p.limit.PerSecond) {
		t.Fatalf("%d arrive within %s at %.2f a second, %.1f may", most, boundWindow, p.limit.PerSecond, arrivalBound(p.limit.PerSecond))
	}
}

// TestEndOfALimitReachesAllNodes guards against an upstream that most nodes avoid for good,
// since only a few of them send to it and read that it is no longer in need.
func TestEndOfALimitReachesAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		w := newNewsWorld(rapid.IntRange(1, 40).Draw(t, "nodes"), rapid.IntRange(0, 2).Draw(t, "others"), start)
		limit := notice.Limit{Named: true, PerSecond: rapid.Float64Range(0.5, 10).Draw(t, "per second")}
		now := start
		run := func(l notice.Limit, length time.Duration) {
			for end := now.Add(length); now.Before(end); now = now.Add(50 * time.Millisecond) {
				for i := range w.nodes {
					w.attempt(i, l, now)
				}
				w.exchange(t, now)
			}
		}
		run(limit, 6*time.Second)
		run(notice.Limit{}, 12*time.Second)
		for i, f := range w.nodes {
			if f.Get("needy").limited() {
				t.Fatalf("node %d still keeps the limit", i)
			}
		}
	})
}

// mostUnheard is how many requests nodes send that have not read the lowered limit yet.
const mostUnheard = 16

// TestLoweredLimitHoldsAtOnce guards against nodes that go on at the rate of a limit which
// the upstream has lowered since, and against requests that were saved up under it.
func TestLoweredLimitHoldsAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	w := newLimitWorld(8, 0, start)
	now := start
	run := func(perSecond float64, length time.Duration) limitPhase {
		p := limitPhase{limit: notice.Limit{Named: true, PerSecond: perSecond}, begins: now, ends: now.Add(length)}
		for ; now.Before(p.ends); now = now.Add(10 * time.Millisecond) {
			for i := range w.nodes {
				w.attempt(i, p.limit, now)
			}
		}
		return p
	}
	run(40, 6*time.Second)
	now = now.Add(5 * time.Second) // bursts are saved up
	lowered := run(1, 10*time.Second)
	inside := slices.DeleteFunc(slices.Clone(w.counted), func(at time.Time) bool { return at.Before(lowered.begins) })
	if most := mostWithin(inside, lowered.begins, boundWindow); float64(most) > arrivalBound(1)+mostUnheard {
		t.Errorf("%d arrive within %s after the limit was lowered to 1 a second", most, boundWindow)
	}
	settled := slices.DeleteFunc(inside, func(at time.Time) bool { return at.Before(lowered.begins.Add(toldAfter)) })
	if most := mostWithin(settled, lowered.begins, boundWindow); float64(most) > arrivalBound(1) {
		t.Errorf("%d arrive within %s at 1 a second, %.0f may", most, boundWindow, arrivalBound(1))
	}
}
