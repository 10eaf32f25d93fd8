package admission

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Next returns the waiting requests that run now, and those refused now because they can
// no longer start in time.
func (q *Queue) Next(now time.Time) []Decision {
	t := q.since(now)
	for _, p := range q.order {
		q.expire(p, t)
		q.dispatch(p, t)
	}
	decisions := q.pending
	q.pending = nil
	return decisions
}

// dispatch runs waiting requests while the pool's limit allows.
func (q *Queue) dispatch(p *pool, now time.Duration) {
	for p.queued > 0 {
		t := p.next(now)
		if t == nil {
			return
		}
		if !q.inTime(t, now) {
			q.drop(t, request.CodeOverloaded, now)
			continue
		}
		p.run(t, now)
		q.pending = append(q.pending, Decision{ID: t.id, Verdict: Run})
	}
}

// expire refuses the waiting requests that can no longer start in time, so that their
// callers are informed at once.
func (q *Queue) expire(p *pool, now time.Duration) {
	if p.queued == 0 {
		p.nextExpiry = never
		return
	}
	if now < p.nextExpiry {
		return
	}
	var late []*ticket
	p.nextExpiry = never
	p.forEachWaiting(func(t *ticket) {
		if !q.inTime(t, now) {
			late = append(late, t)
			return
		}
		p.nextExpiry = min(p.nextExpiry, p.latestStart(t))
	})
	for _, t := range late {
		q.drop(t, request.CodeOverloaded, now)
	}
}

// drop refuses a waiting request.
func (q *Queue) drop(t *ticket, code request.Code, now time.Duration) {
	t.pool.remove(t)
	delete(q.tickets, t.id)
	q.pending = append(q.pending, q.refusal(t, code, now))
}

// Wake returns the latest time for the next call of Next. It returns false when nothing
// waits.
func (q *Queue) Wake() (time.Time, bool) {
	if len(q.pending) > 0 {
		return q.base, true
	}
	first := never
	for _, p := range q.order {
		if p.queued > 0 {
			first = min(first, p.nextExpiry)
		}
	}
	if first == never {
		return time.Time{}, false
	}
	return q.base.Add(first), true
}
