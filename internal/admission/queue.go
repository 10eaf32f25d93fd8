package admission

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Queue admits requests to the pools of upstreams.
type Queue struct {
	settings Settings
	base     time.Time
	pools    map[string]*pool
	order    []*pool // as they were first asked for
	tickets  map[string]*ticket
	// deferring refuses deferrable work while other work waits.
	deferring bool
	arrivals  uint64
	// decided waits for the next call of Next.
	decided []Decision
}

// New returns an empty queue.
func New(s Settings) *Queue {
	return &Queue{settings: s.withDefaults(), pools: map[string]*pool{}, tickets: map[string]*ticket{}}
}

func (q *Queue) since(now time.Time) time.Duration {
	if q.base.IsZero() {
		q.base = now
	}
	return now.Sub(q.base)
}

// SetDeferDeferrable refuses deferrable work at once while immediate or heavy
// work waits; it follows the preset in force.
func (q *Queue) SetDeferDeferrable(on bool) { q.deferring = on }

// SetCapacity bounds a pool's concurrency from above by what its upstreams
// batch, as far as this node knows; 0 lifts the bound.
func (q *Queue) SetCapacity(pool string, requests int) { q.poolOf(pool).capacity = requests }

func (q *Queue) poolOf(name string) *pool {
	p := q.pools[name]
	if p == nil {
		p = newPool(name, &q.settings)
		q.pools[name] = p
		q.order = append(q.order, p)
	}
	return p
}

// Offer decides at once: run, wait, or refused with Retry-After.
func (q *Queue) Offer(r Request) Decision {
	now := q.since(r.Now)
	if q.tickets[r.ID] != nil {
		return Decision{ID: r.ID, Verdict: Refused, Code: request.CodeDuplicate}
	}
	t := q.ticketOf(r)
	p := t.pool
	if t.rank == rankImmediate {
		p.lastImmediate = now
		p.seenImmediate = true
	}
	if p.lane(t.rank).queued == 0 && p.room(t.rank, now) && q.inTime(t, now) {
		q.tickets[t.id] = t
		p.push(t)
		p.run(t, now)
		return Decision{ID: t.id, Verdict: Run}
	}
	if d, refused := q.refuse(t, now); refused {
		return d
	}
	q.tickets[t.id] = t
	p.push(t)
	return Decision{ID: t.id, Verdict: Queued}
}

func (q *Queue) ticketOf(r Request) *ticket {
	q.arrivals++
	t := &ticket{id: r.ID, seq: q.arrivals, org: r.Org, weight: r.Weight, rank: rankOf(r.Kind), pool: q.poolOf(r.Pool), cost: r.Cost}
	t.offered = r.Now.Sub(q.base)
	t.deadline = r.Deadline.Sub(q.base)
	if t.cost <= 0 {
		t.cost = 1
	}
	if t.weight <= 0 {
		t.weight = 1
	}
	return t
}

// inTime says whether a request that runs now can make its deadline.
func (q *Queue) inTime(t *ticket, now time.Duration) bool {
	return now < t.pool.latestStart(t)
}

// Finish tells that a running request ended. Call Next afterwards.
func (q *Queue) Finish(id string, s Sample, now time.Time) {
	t := q.tickets[id]
	if t == nil || !t.running {
		return
	}
	delete(q.tickets, id)
	p := t.pool
	p.count(t.rank, -1, q.since(now))
	if s.Total > 0 && !s.Dropped {
		p.services[t.rank].add(s.Total, t.cost)
	}
	p.limiter.observe(s, q.since(now))
}

// Observe takes what a pool's upstreams reported of their load; call it once or
// more a second, and Next afterwards. While l.Limit is not 0 it sets the pool's
// limit in place of latency.
func (q *Queue) Observe(pool string, l PoolLoad) { q.poolOf(pool).load = l }

// Cancel forgets a waiting or running request whose caller went away. Call
// Next afterwards.
func (q *Queue) Cancel(id string, now time.Time) {
	t := q.tickets[id]
	if t == nil {
		return
	}
	delete(q.tickets, id)
	if t.running {
		t.pool.count(t.rank, -1, q.since(now))
		return
	}
	t.pool.remove(t)
}
