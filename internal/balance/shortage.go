package balance

import "time"

// The delays after which an upstream may be available again.
const (
	retryAfterNoneKnown  = 5 * time.Second
	retryAfterAllLeaving = 2 * time.Second
	retryAfterAllTried   = time.Second
	minRetryAfter        = time.Second
)

// shortage returns why no upstream of the pool can be used.
func (b *Balancer) shortage(p *pool, now time.Duration) Shortage {
	var listed, available, failing, paced int
	minWait := time.Duration(-1)
	for _, h := range p.members() {
		if !h.listed {
			continue
		}
		listed++
		if h.leaving() {
			continue
		}
		available++
		var wait time.Duration
		switch {
		case !h.breaker.allowsRequest(now):
			failing++
			wait = h.breaker.probeAt - now
		case !b.maySend(h, now):
			paced++
			wait = b.nextSendAt(h, now) - now
		default:
			continue
		}
		if minWait < 0 || wait < minWait {
			minWait = wait
		}
	}
	switch {
	case listed == 0:
		return Shortage{Reason: NoneKnown, RetryAfter: retryAfterNoneKnown}
	case available == 0:
		return Shortage{Reason: AllLeaving, RetryAfter: retryAfterAllLeaving}
	case failing == available:
		return Shortage{Reason: AllFailing, RetryAfter: max(minWait, minRetryAfter)}
	case failing+paced == available:
		return Shortage{Reason: AllPaced, RetryAfter: max(minWait, minRetryAfter)}
	}
	return Shortage{Reason: AllTried, RetryAfter: retryAfterAllTried}
}
