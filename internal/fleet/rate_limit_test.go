package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/notice"
)

const (
	// boundWindow is the span in which the users' bound on a named limit counts.
	boundWindow = 4 * time.Second
	// toldAfter is how long after a node has read a limit its requests count, firstAfter
	// how long after the upstream first named one.
	toldAfter  = 500 * time.Millisecond
	firstAfter = 3 * time.Second
)

// arrivalBound is how many requests may arrive in a boundWindow at an upstream that named a
// limit, from the nodes that it has told.
func arrivalBound(perSecond float64) float64 { return 1.5*perSecond*boundWindow.Seconds() + 5 }

// limitWorld is some nodes before one upstream that names a limit and others that do not.
type limitWorld struct {
	nodes []*Fleet
	ids   []string
	// toldAt is when each node first read the limit; counted are the arrivals at the
	// upstream from nodes that had been told.
	toldAt  []time.Time
	counted []time.Time
	all     int
	sent    uint64
}

func newLimitWorld(count, others int, now time.Time) *limitWorld {
	w := &limitWorld{toldAt: make([]time.Time, count)}
	for i := range count {
		w.ids = append(w.ids, fmt.Sprintf("n%02d", i))
	}
	for i, id := range w.ids {
		f := New(Settings{Domain: "d0", Origin: uint64(i + 1)})
		f.SetSenders(id, w.ids)
		f.Put(record("needy"), now)
		for k := range others {
			f.Put(record(fmt.Sprintf("sound%d", k)), now)
		}
		w.nodes = append(w.nodes, f)
	}
	return w
}

// attempt has a node send one request; the upstream answers at once and names the limit.
func (w *limitWorld) attempt(i int, limit notice.Limit, now time.Time) bool {
	f := w.nodes[i]
	w.sent++
	want := AttemptSpec{Service: "s", Seed: mix(w.sent)}
	u := f.Choose(want, now)
	if u == nil {
		return false
	}
	work := f.Begin(u, &want, now)
	f.End(u, work, Served, now)
	if u.ID != "needy" {
		return true
	}
	w.all++
	if told := w.toldAt[i]; !told.IsZero() && now.Sub(told) >= toldAfter {
		w.counted = append(w.counted, now)
	}
	f.Answered(u, notice.Answer{Limit: limit}, now, now)
	if limit.Named && w.toldAt[i].IsZero() {
		w.toldAt[i] = now
	}
	return true
}

// mostWithin is the most of some times from a moment on that lie within a window.
func mostWithin(sent []time.Time, from time.Time, window time.Duration) (most int) {
	slices.SortFunc(sent, time.Time.Compare)
	for i, first := range sent {
		n := 0
		for n+i < len(sent) && sent[i+n].Sub(first) < window {
			n++
		}
		if !sent[i+n-1].Before(from) {
			most = max(most, n)
		}
	}
	return most
}

// TestNamedLimitHoldsOverAllNodes guards against an upstream in need that gets more than the
// rate which it has named, from nodes that it has told: they send at any moments, some have
// not heard yet that another node has joined.
func TestNamedLimitHoldsOverAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		perSecond := rapid.Float64Range(0.2, 30).Draw(t, "per second")
		w := newLimitWorld(rapid.IntRange(1, 40).Draw(t, "nodes"), rapid.IntRange(0, 3).Draw(t, "others"), start)
		last := len(w.ids) - 1
		if rapid.Bool().Draw(t, "some have not heard of the last one") {
			for i, f := range w.nodes[:last/2] {
				f.SetSenders(w.ids[i], w.ids[:last])
			}
		}
		busy := rapid.IntRange(1, 4).Draw(t, "attempts at most")
		limit := notice.Limit{Named: true, PerSecond: perSecond}
		now := start
		for now.Before(start.Add(12 * time.Second)) {
			for i := range w.nodes {
				for range rapid.IntRange(0, busy).Draw(t, "attempts") {
					w.attempt(i, limit, now)
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(20, 400).Draw(t, "pause")) * time.Millisecond)
		}
		if most := mostWithin(w.counted, start.Add(firstAfter), boundWindow); float64(most) > arrivalBound(perSecond) {
			t.Fatalf("%d arrive within %s at %.2f a second, %.1f may", most, boundWindow, perSecond, arrivalBound(perSecond))
		}
	})
}
