package balance

import "time"

// The hints of when an upstream may be there again.
const (
	retryNoneKnown = 5 * time.Second
	retryLeaving   = 2 * time.Second
	retryTried     = time.Second
	retryLeast     = time.Second
)

// shortage says why no upstream of the pool can be used.
func (b *Balancer) shortage(p *pool, now time.Duration) Shortage {
	var listed, staying, failing, paced int
	soonest := time.Duration(-1)
	for _, h := range p.known() {
		if !h.listed {
			continue
		}
		listed++
		if h.leaving() {
			continue
		}
		staying++
		var wait time.Duration
		switch {
		case !h.breaker.allows(now):
			failing++
			wait = h.breaker.until - now
		case !b.admits(h, now):
			paced++
			wait = b.pacedUntil(h, now) - now
		default:
			continue
		}
		if soonest < 0 || wait < soonest {
			soonest = wait
		}
	}
	switch {
	case listed == 0:
		return Shortage{Reason: NoneKnown, RetryAfter: retryNoneKnown}
	case staying == 0:
		return Shortage{Reason: AllLeaving, RetryAfter: retryLeaving}
	case failing == staying:
		return Shortage{Reason: AllFailing, RetryAfter: max(soonest, retryLeast)}
	case failing+paced == staying:
		return Shortage{Reason: AllPaced, RetryAfter: max(soonest, retryLeast)}
	}
	return Shortage{Reason: AllTried, RetryAfter: retryTried}
}
