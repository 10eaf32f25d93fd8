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
	// boundWindow is the window in which the users' bound on an advertised limit applies.
	boundWindow = 4 * time.Second
	// limitGrace is the time after a node read a limit from which its requests count.
	// firstLimitGrace is the time after the upstream first advertised a limit from which it
	// is checked.
	limitGrace      = 500 * time.Millisecond
	firstLimitGrace = 3 * time.Second
)

// arrivalBound returns the number of requests that may arrive within a boundWindow at an
// upstream that advertises a limit, from nodes that have read it.
func arrivalBound(perSecond float64) float64 { return 1.5*perSecond*boundWindow.Seconds() + 5 }

// limitSimulation is a set of nodes with one upstream that advertises a limit and others
// that do not.
type limitSimulation struct {
	nodes []*Fleet
	ids   []string
	// limitReadAt is when each node first read the limit. countedArrivals are the arrivals
	// at the limited upstream from nodes that had read it limitGrace before.
	limitReadAt     []time.Time
	countedArrivals []time.Time
	arrivals        int
	attempts        uint64
}

func newLimitSimulation(count, others int, now time.Time) *limitSimulation {
	s := &limitSimulation{limitReadAt: make([]time.Time, count)}
	for i := range count {
		s.ids = append(s.ids, fmt.Sprintf("n%02d", i))
	}
	for i, id := range s.ids {
		f := New(Settings{Domain: "d0", Origin: uint64(i + 1)})
		f.SetSenders(id, s.ids)
		f.Put(testRecord("needy"), now)
		for k := range others {
			f.Put(testRecord(fmt.Sprintf("sound%d", k)), now)
		}
		s.nodes = append(s.nodes, f)
	}
	return s
}

// attempt sends one request from a node. The upstream responds at once and advertises the
// limit.
func (s *limitSimulation) attempt(i int, limit notice.Limit, now time.Time) bool {
	f := s.nodes[i]
	s.attempts++
	spec := AttemptSpec{Service: "s", Seed: mixBits(s.attempts)}
	u := f.Choose(spec, now)
	if u == nil {
		return false
	}
	work := f.Begin(u, &spec, now)
	f.End(u, work, Served, now)
	if u.ID != "needy" {
		return true
	}
	s.arrivals++
	if readAt := s.limitReadAt[i]; !readAt.IsZero() && now.Sub(readAt) >= limitGrace {
		s.countedArrivals = append(s.countedArrivals, now)
	}
	f.ApplyResponse(u, notice.Response{Limit: limit}, now, now)
	if limit.Named && s.limitReadAt[i].IsZero() {
		s.limitReadAt[i] = now
	}
	return true
}

// maxWithin returns the maximum number of times within a window whose last time is not
// before from.
func maxWithin(sent []time.Time, from time.Time, window time.Duration) (maximum int) {
	slices.SortFunc(sent, time.Time.Compare)
	for i, first := range sent {
		n := 0
		for n+i < len(sent) && sent[i+n].Sub(first) < window {
			n++
		}
		if !sent[i+n-1].Before(from) {
			maximum = max(maximum, n)
		}
	}
	return maximum
}

// An upstream gets at most its advertised rate from the nodes that have read it. They
// send at arbitrary times, and some do not know yet that another node has joined.
func TestAdvertisedLimitHoldsAcrossNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		perSecond := rapid.Float64Range(0.2, 30).Draw(t, "per second")
		s := newLimitSimulation(rapid.IntRange(1, 40).Draw(t, "nodes"), rapid.IntRange(0, 3).Draw(t, "others"), start)
		last := len(s.ids) - 1
		if rapid.Bool().Draw(t, "some do not know the last node") {
			for i, f := range s.nodes[:last/2] {
				f.SetSenders(s.ids[i], s.ids[:last])
			}
		}
		maxAttempts := rapid.IntRange(1, 4).Draw(t, "maximum attempts")
		limit := notice.Limit{Named: true, PerSecond: perSecond}
		now := start
		for now.Before(start.Add(12 * time.Second)) {
			for i := range s.nodes {
				for range rapid.IntRange(0, maxAttempts).Draw(t, "attempts") {
					s.attempt(i, limit, now)
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(20, 400).Draw(t, "pause")) * time.Millisecond)
		}
		if peak := maxWithin(s.countedArrivals, start.Add(firstLimitGrace), boundWindow); float64(peak) > arrivalBound(perSecond) {
			t.Fatalf("%d requests arrive within %s at a limit of %.2f/s, the bound is %.1f", peak, boundWindow, perSecond, arrivalBound(perSecond))
		}
	})
}
