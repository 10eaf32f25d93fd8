package admission

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Queue admits requests to the pools of upstreams. It is not safe for concurrent use.
type Queue struct {
	settings Settings
	base     time.Time
	pools    map[string]*pool
	order    []*pool // in order of first use
	tickets  map[string]*ticket
	// deferDeferrable refuses deferrable work while other work waits.
	deferDeferrable bool
	arrivals        uint64
	// pending holds decisions for the next call of Next.
	pending []Decision
}

// New returns an empty queue. Zero fields of s take their defaults.
func New(s Settings) *Queue {
	return &Queue{settings: s.withDefaults(), pools: map[string]*pool{}, tickets: map[string]*ticket{}}
}

// since converts a time to an offset from the base, which is the first time seen.
func (q *Queue) since(now time.Time) time.Duration {
	if q.base.IsZero() {
		q.base = now
	}
	return now.Sub(q.base)
}

// SetDeferDeferrable sets whether deferrable work is refused at once while immediate or
// heavy work waits. The preset in force determines it.
func (q *Queue) SetDeferDeferrable(on bool) { q.deferDeferrable = on }

// SetCapacity bounds a pool's concurrency, in requests, by the known batch size of its
// upstreams; 0 removes the bound.
func (q *Queue) SetCapacity(pool string, requests int) { q.ensurePool(pool).capacity = requests }

func (q *Queue) ensurePool(name string) *pool {
	p := q.pools[name]
	if p == nil {
		p = newPool(name, &q.settings)
		q.pools[name] = p
		q.order = append(q.order, p)
	}
	return p
}

// Offer decides on a request at once: run, wait, or refused with RetryAfter. A request
// whose ID already waits or runs is refused as a duplicate.
func (q *Queue) Offer(r Request) Decision {
	now := q.since(r.Now)
	if q.tickets[r.ID] != nil {
		return Decision{ID: r.ID, Verdict: Refused, Code: request.CodeDuplicate}
	}
	t := q.newTicket(r)
	p := t.pool
	if t.rank == rankImmediate {
		p.lastImmediateAt = now
		p.seenImmediate = true
	}
	if p.lane(t.rank).queued == 0 && p.mayRun(t.rank, now) && q.inTime(t, now) {
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

func (q *Queue) newTicket(r Request) *ticket {
	q.arrivals++
	t := &ticket{id: r.ID, seq: q.arrivals, org: r.Org, weight: r.Weight, rank: rankOf(r.Kind), pool: q.ensurePool(r.Pool), cost: r.Cost}
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

// inTime reports whether a request that starts now does so by its latestStart.
func (q *Queue) inTime(t *ticket, now time.Duration) bool {
	return now < t.pool.latestStart(t)
}

// Finish records the end of a running request. Call Next afterwards.
func (q *Queue) Finish(id string, s Sample, now time.Time) {
	t := q.tickets[id]
	if t == nil || !t.running {
		return
	}
	delete(q.tickets, id)
	p := t.pool
	p.addRunning(t.rank, -1, q.since(now))
	if s.Total > 0 && !s.Overloaded {
		p.serviceTimes[t.rank].add(s.Total, t.cost)
	}
	p.limiter.observe(s, q.since(now))
}

// Observe records the load that a pool's upstreams reported. Call it at least once per
// second, and Next afterwards. While l.Limit is not 0, the load determines the pool's
// limit instead of latency.
func (q *Queue) Observe(pool string, l PoolLoad) { q.ensurePool(pool).load = l }

// Cancel removes a waiting or running request whose caller has disconnected. Call Next
// afterwards.
func (q *Queue) Cancel(id string, now time.Time) {
	t := q.tickets[id]
	if t == nil {
		return
	}
	delete(q.tickets, id)
	if t.running {
		t.pool.addRunning(t.rank, -1, q.since(now))
		return
	}
	t.pool.remove(t)
}
