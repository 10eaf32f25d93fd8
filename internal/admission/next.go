package admission

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Next returns the waiting requests that run now and those that are refused
// now because their deadline cannot be met any more.
func (q *Queue) Next(now time.Time) []Decision {
	t := q.since(now)
	for _, p := range q.order {
		q.expire(p, t)
		q.dispatch(p, t)
	}
	out := q.decided
	q.decided = nil
	return out
}

// dispatch runs what there is room for.
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
		q.decided = append(q.decided, Decision{ID: t.id, Verdict: Run})
	}
}

// expire refuses the waiting requests that can no longer make their deadline,
// so that their callers hear of it at once.
func (q *Queue) expire(p *pool, now time.Duration) {
	if p.queued == 0 {
		p.expires = never
		return
	}
	if now < p.expires {
		return
	}
	var late []*ticket
	p.expires = never
	p.each(func(t *ticket) {
		if !q.inTime(t, now) {
			late = append(late, t)
			return
		}
		p.expires = min(p.expires, p.latestStart(t))
	})
	for _, t := range late {
		q.drop(t, request.CodeOverloaded, now)
	}
}

// drop refuses a waiting request.
func (q *Queue) drop(t *ticket, code request.Code, now time.Duration) {
	t.pool.remove(t)
	delete(q.tickets, t.id)
	q.decided = append(q.decided, q.refusal(t, code, now))
}

// Wake returns when Next must be called at the latest, and false when nothing
// waits.
func (q *Queue) Wake() (time.Time, bool) {
	if len(q.decided) > 0 {
		return q.base, true
	}
	first := never
	for _, p := range q.order {
		if p.queued > 0 {
			first = min(first, p.expires)
		}
	}
	if first == never {
		return time.Time{}, false
	}
	return q.base.Add(first), true
}
