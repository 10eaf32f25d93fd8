package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/request"
)

const (
	leastRetryAfter = time.Second
	mostRetryAfter  = time.Minute
)

// refuse decides whether a request that cannot run at once is refused. When
// the pool's queue is full, the organisation that has most waiting for its
// weight makes room.
func (q *Queue) refuse(t *ticket, now time.Duration) (Decision, bool) {
	p := t.pool
	if !q.inTime(t, now) {
		return q.refusal(t, request.CodeDeadline, now), true
	}
	if q.defers(t) {
		return q.refusal(t, request.CodeOverloaded, now), true
	}
	if f := p.lane(t.rank).flows[t.org]; f != nil && f.queued >= q.settings.MaxQueuedPerOrganisation {
		return q.refusal(t, request.CodeOverloaded, now), true
	}
	wait := p.wait(t, now)
	if wait > p.maxWait(t.rank) || now+wait > p.latestStart(t) {
		return q.refusal(t, request.CodeOverloaded, now), true
	}
	if p.queued < q.settings.MaxQueued {
		return Decision{}, false
	}
	victim := p.victim(t)
	if victim == nil {
		return q.refusal(t, request.CodeOverloaded, now), true
	}
	q.drop(victim, request.CodeOverloaded, now)
	return Decision{}, false
}

// defers says whether the preset in force keeps the request out.
func (q *Queue) defers(t *ticket) bool {
	if !q.deferring || t.rank != rankDeferrable {
		return false
	}
	for _, p := range q.order {
		if p.urgent.queued > 0 || p.rest.heavy() {
			return true
		}
	}
	return false
}

// victim is the waiting request that makes room for t: of the organisation
// that has most waiting for its weight, the one that can best be spared. It is
// nil when t itself is that. Immediate requests make room only for each other.
func (p *pool) victim(t *ticket) *ticket {
	if t.rank == rankImmediate && p.rest.queued > 0 {
		return p.rest.worst().last()
	}
	l := p.lane(t.rank)
	worst := l.worst()
	if worst == nil {
		return nil
	}
	if worst.org == t.org {
		if spare := worst.last(); spare.rank > t.rank {
			return spare
		}
		return nil
	}
	if worst.cost()/worst.weight <= l.waitingFor(t)/t.weight {
		return nil
	}
	return worst.last()
}

// waitingFor is what t's organisation would have waiting with t.
func (l *lane) waitingFor(t *ticket) float64 {
	if f := l.flows[t.org]; f != nil {
		return f.cost() + t.cost
	}
	return t.cost
}

// refusal says when to come back: when the queue of the request's
// organisation will have gone down, spread so that those refused together do
// not come back together.
func (q *Queue) refusal(t *ticket, code request.Code, now time.Duration) Decision {
	after := t.pool.wait(t, now)
	after = min(max(after, leastRetryAfter), mostRetryAfter)
	const half = 1 << 63
	after += time.Duration(float64(after) / 2 * float64(xxhash.Sum64String(t.id)>>1) / half)
	return Decision{ID: t.id, Verdict: Refused, Code: code, RetryAfter: after}
}
