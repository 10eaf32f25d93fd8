package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/config"
)

// queueModel drives a queue with random events and checks it after each.
type queueModel struct {
	queue   *Queue
	now     time.Time
	next    int
	waiting map[string]Request
	running map[string]Request
}

const (
	modelMaxQueued = 12
	modelMaxPerOrg = 5
)

func newQueueModel(t *rapid.T) *queueModel {
	limit := rapid.IntRange(1, 10).Draw(t, "limit")
	return &queueModel{
		queue: New(Settings{
			MaxQueued: modelMaxQueued, MaxQueuedPerOrganisation: modelMaxPerOrg,
			Limit: LimitSettings{Initial: limit, Min: 1},
		}),
		now:     epoch,
		waiting: map[string]Request{},
		running: map[string]Request{},
	}
}

func (m *queueModel) offer(t *rapid.T) {
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
	if d.Verdict == Refused && (d.RetryAfter < minRetryAfter || d.Code == "") {
		t.Fatalf("refused without RetryAfter or Code: %+v", d)
	}
}

func (m *queueModel) applyDecisions(t *rapid.T) {
	for _, d := range m.queue.Next(m.now) {
		r, ok := m.waiting[d.ID]
		if !ok {
			t.Fatalf("got a decision on %s, which is not waiting", d.ID)
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

func drawID(t *rapid.T, requests map[string]Request) string {
	ids := make([]string, 0, len(requests))
	for i := range 1 << 20 {
		if id := fmt.Sprint(i); requests[id].ID != "" {
			ids = append(ids, id)
		}
		if len(ids) == len(requests) {
			break
		}
	}
	return rapid.SampledFrom(ids).Draw(t, "which")
}

func (m *queueModel) check(t *rapid.T) {
	p := m.queue.ensurePool("pool")
	limit := p.limit()
	if got := m.queue.Status()[0]; got.Running != len(m.running) || got.Queued != len(m.waiting) {
		t.Fatalf("status %+v, but %d run and %d wait", got, len(m.running), len(m.waiting))
	}
	if len(m.waiting) > modelMaxQueued {
		t.Fatalf("%d requests wait, more than modelMaxQueued", len(m.waiting))
	}
	perLane := map[string]int{}
	for _, r := range m.waiting {
		lane := "rest"
		if r.Kind == config.Immediate {
			lane = "urgent"
		}
		perLane[r.Org+" "+lane]++
		if !m.now.Before(r.Deadline) {
			t.Fatalf("%s still waits after its deadline", r.ID)
		}
		if r.Kind == config.Immediate && len(m.running) < limit {
			t.Fatalf("immediate %s waits although %d of %d run", r.ID, len(m.running), limit)
		}
	}
	for who, n := range perLane {
		if n > modelMaxPerOrg {
			t.Fatalf("%d requests of %s wait, more than modelMaxPerOrg", n, who)
		}
	}
	if len(m.waiting) > 0 && len(m.running) < limit-p.immediateFloor(m.queue.since(m.now)) {
		t.Fatalf("%d wait although only %d of %d run", len(m.waiting), len(m.running), limit)
	}
}

// TestQueueInvariants checks the queue under random events in any order. The queue stays
// within its bounds, nothing waits while there is room, and only the limit itself holds
// up immediate work. Each request gets one decision, none runs after its deadline, and
// every refusal has a RetryAfter.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newQueueModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				m.offer(t)
				m.applyDecisions(t)
			},
			"finish": func(t *rapid.T) {
				if len(m.running) == 0 {
					t.Skip("nothing runs")
				}
				id := drawID(t, m.running)
				total := time.Duration(rapid.IntRange(1, 20_000).Draw(t, "total")) * time.Millisecond
				delete(m.running, id)
				m.queue.Finish(id, Sample{FirstToken: total / 10, Total: total, Overloaded: rapid.Bool().Draw(t, "dropped")}, m.now)
				m.applyDecisions(t)
			},
			"cancel": func(t *rapid.T) {
				if len(m.waiting) == 0 {
					t.Skip("nothing waits")
				}
				id := drawID(t, m.waiting)
				delete(m.waiting, id)
				m.queue.Cancel(id, m.now)
				m.applyDecisions(t)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				if at, any := m.queue.Wake(); any && !at.After(m.now) || !any {
					m.applyDecisions(t)
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

// Shares must be fair when organisations always have work waiting. They get work in
// proportion to their weights, whatever their requests cost: none is ahead of another by
// more than one request of each.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLane(defaultDeferrableShare)
		orgs := rapid.IntRange(2, 6).Draw(t, "orgs")
		weights := make([]float64, orgs)
		served := make([]float64, orgs)
		const maxCost = 5.0
		push := func(o int) {
			l.push(&ticket{org: fmt.Sprint(o), rank: rankHeavy + rank(rapid.IntRange(0, 1).Draw(t, "rank")), weight: weights[o], cost: rapid.Float64Range(0.1, maxCost).Draw(t, "cost")})
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
				if served[a]-served[b] > maxCost/weights[a]+maxCost/weights[b] {
					t.Fatalf("organisation %d got %v relative to its weight, organisation %d got %v", a, served[a], b, served[b])
				}
			}
		}
	})
}

// TestRetryBudgetHolds checks that retries stay within their share of first attempts, for
// any sequence of first attempts, failures and pauses.
func TestRetryBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget(RetrySettings{})
		now := epoch
		var first, retries float64
		for range rapid.IntRange(1, 500).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.CountFirst(now)
				first++
			} else if b.Allow(now) {
				retries++
			}
		}
		maxRetries := defaultRetryBurst + defaultRetryRatio*first + defaultRetryPerSecond*now.Sub(epoch).Seconds()
		if retries > maxRetries+1e-6 {
			t.Fatalf("%v retries for %v first attempts", retries, first)
		}
	})
}
