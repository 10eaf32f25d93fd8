package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/config"
)

// machine drives a queue by random events and checks it after each.
type machine struct {
	queue   *Queue
	now     time.Time
	next    int
	waiting map[string]Request
	running map[string]Request
}

const (
	machineMax  = 12
	machineEach = 5
)

func newMachine(t *rapid.T) *machine {
	limit := rapid.IntRange(1, 10).Draw(t, "limit")
	return &machine{
		queue: New(Settings{
			MaxQueued: machineMax, MaxQueuedPerOrganisation: machineEach,
			Limit: LimitSettings{Initial: limit, Min: 1},
		}),
		now:     epoch,
		waiting: map[string]Request{},
		running: map[string]Request{},
	}
}

func (m *machine) offer(t *rapid.T) {
	m.next++
	r := Request{
		ID:       fmt.Sprint(m.next),
		Org:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org"),
		Weight:   rapid.SampledFrom([]float64{1, 4}).Draw(t, "weight"),
		Kind:     rapid.SampledFrom([]config.Kind{config.Immediate, config.Heavy, config.Deferrable}).Draw(t, "kind"),
		Pool:     "pool",
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "deadline")) * time.Second),
		Now:      m.now,
	}
	switch d := m.queue.Offer(r); d.Verdict {
	case Run:
		m.running[r.ID] = r
	case Queued:
		m.waiting[r.ID] = r
	default:
		checkRefusal(t, d)
	}
}

func checkRefusal(t *rapid.T, d Decision) {
	if d.Verdict == Refused && (d.RetryAfter < leastRetryAfter || d.Code == "") {
		t.Fatalf("refused without Retry-After or code: %+v", d)
	}
}

func (m *machine) drain(t *rapid.T) {
	for _, d := range m.queue.Next(m.now) {
		r, ok := m.waiting[d.ID]
		if !ok {
			t.Fatalf("a decision on %s, which does not wait", d.ID)
		}
		delete(m.waiting, d.ID)
		checkRefusal(t, d)
		if d.Verdict != Run {
			continue
		}
		if !m.now.Before(r.Deadline) {
			t.Fatalf("%s runs after its deadline", d.ID)
		}
		m.running[d.ID] = r
	}
}

func anyOf(t *rapid.T, of map[string]Request) string {
	ids := make([]string, 0, len(of))
	for i := range 1 << 20 {
		if id := fmt.Sprint(i); of[id].ID != "" {
			ids = append(ids, id)
		}
		if len(ids) == len(of) {
			break
		}
	}
	return rapid.SampledFrom(ids).Draw(t, "which")
}

func (m *machine) check(t *rapid.T) {
	p := m.queue.poolOf("pool")
	limit := p.limit()
	if got := m.queue.Status()[0]; got.Running != len(m.running) || got.Queued != len(m.waiting) {
		t.Fatalf("status %+v, but %d run and %d wait", got, len(m.running), len(m.waiting))
	}
	if len(m.waiting) > machineMax {
		t.Fatalf("%d wait", len(m.waiting))
	}
	each := map[string]int{}
	for _, r := range m.waiting {
		lane := "rest"
		if r.Kind == config.Immediate {
			lane = "urgent"
		}
		each[r.Org+" "+lane]++
		if !m.now.Before(r.Deadline) {
			t.Fatalf("%s still waits after its deadline", r.ID)
		}
		if r.Kind == config.Immediate && len(m.running) < limit {
			t.Fatalf("immediate %s waits although %d of %d run", r.ID, len(m.running), limit)
		}
	}
	for who, n := range each {
		if n > machineEach {
			t.Fatalf("%d of %s wait", n, who)
		}
	}
	if len(m.waiting) > 0 && len(m.running) < limit-p.floor(m.queue.since(m.now)) {
		t.Fatalf("%d wait although only %d of %d run", len(m.waiting), len(m.running), limit)
	}
}

// TestQueueInvariants: whatever comes in whatever order, the queue stays
// within its bounds, nothing waits while there is room, immediate work is
// held up by nothing but the whole limit, each request gets one decision,
// none runs after its deadline, and every refusal says when to come back.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				m.offer(t)
				m.drain(t)
			},
			"finish": func(t *rapid.T) {
				if len(m.running) == 0 {
					t.Skip("nothing runs")
				}
				id := anyOf(t, m.running)
				total := time.Duration(rapid.IntRange(1, 20_000).Draw(t, "total")) * time.Millisecond
				delete(m.running, id)
				m.queue.Finish(id, Sample{Start: total / 10, Total: total, Dropped: rapid.Bool().Draw(t, "dropped")}, m.now)
				m.drain(t)
			},
			"cancel": func(t *rapid.T) {
				if len(m.waiting) == 0 {
					t.Skip("nothing waits")
				}
				id := anyOf(t, m.waiting)
				delete(m.waiting, id)
				m.queue.Cancel(id, m.now)
				m.drain(t)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				if at, any := m.queue.Wake(); any && !at.After(m.now) || !any {
					m.drain(t)
				}
			},
			"": func(t *rapid.T) {
				if m.next > 0 {
					m.check(t)
				}
			},
		})
	})
}

// TestFairShares: organisations that always have work waiting get shares of
// the places by their weights, whatever their requests cost: no one is ahead
// of another by more than one request of each.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLane(defaultDeferrableShare)
		orgs := rapid.IntRange(2, 6).Draw(t, "orgs")
		weights := make([]float64, orgs)
		served := make([]float64, orgs)
		const most = 5.0
		push := func(o int) {
			l.push(&ticket{org: fmt.Sprint(o), rank: rankHeavy + rank(rapid.IntRange(0, 1).Draw(t, "rank")), weight: weights[o], cost: rapid.Float64Range(0.1, most).Draw(t, "cost")})
		}
		for o := range orgs {
			weights[o] = rapid.SampledFrom([]float64{1, 2, 8}).Draw(t, "weight")
			push(o)
			push(o)
		}
		for range rapid.IntRange(1, 300).Draw(t, "rounds") {
			next := l.next()
			l.serve(next)
			var o int
			_, _ = fmt.Sscan(next.org, &o)
			served[o] += next.cost / weights[o]
			push(o)
		}
		for a := range orgs {
			for b := range orgs {
				if served[a]-served[b] > most/weights[a]+most/weights[b] {
					t.Fatalf("organisation %d had %v for its weight, %d had %v", a, served[a], b, served[b])
				}
			}
		}
	})
}

// TestRetryBudgetHolds: however first attempts, failures and pauses follow
// each other, retries stay a share of first attempts.
func TestRetryBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget(RetrySettings{})
		now := epoch
		var first, retries float64
		for range rapid.IntRange(1, 500).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.First(now)
				first++
			} else if b.Allow(now) {
				retries++
			}
		}
		most := defaultRetryBurst + defaultRetryRatio*first + defaultRetryPerSecond*now.Sub(epoch).Seconds()
		if retries > most+1e-6 {
			t.Fatalf("%v retries to %v first attempts", retries, first)
		}
	})
}
