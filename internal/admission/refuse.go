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
	if f := p.lanes[t.rank].flows[t.org]; f != nil && len(f.queue) >= q.settings.MaxQueuedPerOrganisation {
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
		if p.lanes[rankImmediate].queued+p.lanes[rankHeavy].queued > 0 {
			return true
		}
	}
	return false
}

// victim is the waiting request that makes room for t: of the least urgent
// kind that waits, from the organisation that has most waiting for its
// weight, the one with the latest deadline. It is nil when t itself is that.
func (p *pool) victim(t *ticket) *ticket {
	for r := ranks - 1; r >= t.rank; r-- {
		worst := p.lanes[r].worst()
		if worst == nil {
			continue
		}
		if r > t.rank {
			return worst.queue.last()
		}
		if worst.org == t.org || worst.cost/worst.weight <= p.waitingFor(t)/t.weight {
			return nil
		}
		return worst.queue.last()
	}
	return nil
}

// waitingFor is what t's organisation would have waiting with t.
func (p *pool) waitingFor(t *ticket) float64 {
	if f := p.lanes[t.rank].flows[t.org]; f != nil {
		return f.cost + t.cost
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
