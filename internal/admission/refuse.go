package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/request"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// refuse decides whether a request that cannot run at once is refused. When the pool's
// queue is full, the organisation with the highest waiting cost for its weight makes
// room.
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
	wait := p.estimateWait(t, now)
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

// defers reports whether the preset in force refuses the request.
func (q *Queue) defers(t *ticket) bool {
	if !q.deferDeferrable || t.rank != rankDeferrable {
		return false
	}
	for _, p := range q.order {
		if p.immediateLane.queued > 0 || p.otherLane.hasHeavy() {
			return true
		}
	}
	return false
}

// victim returns the waiting ticket to drop in favour of t: the least urgent one of the
// organisation with the highest waiting cost for its weight. It returns nil when t itself
// should be refused. Immediate requests make room only for each other.
func (p *pool) victim(t *ticket) *ticket {
	if t.rank == rankImmediate && p.otherLane.queued > 0 {
		return p.otherLane.mostBacklogged().leastUrgent()
	}
	l := p.lane(t.rank)
	backlogged := l.mostBacklogged()
	if backlogged == nil {
		return nil
	}
	if backlogged.org == t.org {
		if candidate := backlogged.leastUrgent(); candidate.rank > t.rank {
			return candidate
		}
		return nil
	}
	if backlogged.cost()/backlogged.weight <= l.backlogWith(t)/t.weight {
		return nil
	}
	return backlogged.leastUrgent()
}

// backlogWith returns the waiting cost of t's organisation including t.
func (l *lane) backlogWith(t *ticket) float64 {
	if f := l.flows[t.org]; f != nil {
		return f.cost() + t.cost
	}
	return t.cost
}

// refusal returns a refusal whose RetryAfter is the estimated wait of the request, within
// bounds. It is lengthened by up to half, by the request's ID, so that requests refused
// together do not return together.
func (q *Queue) refusal(t *ticket, code request.Code, now time.Duration) Decision {
	retryAfter := t.pool.estimateWait(t, now)
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	const half = 1 << 63
	retryAfter += time.Duration(float64(retryAfter) / 2 * float64(xxhash.Sum64String(t.id)>>1) / half)
	return Decision{ID: t.id, Verdict: Refused, Code: code, RetryAfter: retryAfter}
}
