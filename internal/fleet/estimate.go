package fleet

import "time"

// Estimate is what an attempt would cost at one upstream, by term, in units of work: prefilled
// tokens of the largest model, or requests of a plain service.
type Estimate struct {
	// Queued is the work that is queued there.
	Queued float64
	// Prefill is the attempt's own work: its tokens that are not cached there.
	Prefill float64
	// Reread is the cost of shared tokens that the upstream would prefill although another
	// one probably has them cached.
	Reread float64
	// Batch is the delay by the requests that run or wait there.
	Batch float64
	// Slowness is the time that the upstream takes for a unit of work, relative to the usual
	// time; 1 if it is unknown.
	Slowness float64
	// Failures is the relative increase by the upstream's recent failures and its silence.
	Failures float64
	// Remote is the cost of another failure domain, RateBound that of the upstream's rate
	// bound.
	Remote, RateBound float64
	// tie resolves ties differently on different requests.
	tie float64
}

// Total returns the cost by which candidates are compared.
func (e *Estimate) Total() float64 {
	return (e.Queued+e.Prefill+e.Reread+e.Batch)*e.Slowness*(1+e.Failures) + e.Remote + e.RateBound + e.tie
}

// Tie is the part that resolves ties.
func (e *Estimate) Tie() float64 { return e.tie }

// estimate returns what the attempt would cost at u.
//
// Prefill is what delays a batch. Requests that only decode hardly slow each other down
// until all slots are in use.
func (f *Fleet) estimate(u *Upstream, spec *AttemptSpec, affinity []*Upstream, now time.Time) Estimate {
	mean := f.meanWork(spec)
	load := u.load(now)
	e := Estimate{
		Queued:   u.queuedWork(mean, now),
		Prefill:  f.attemptWork(u, spec, affinity, now),
		Reread:   f.rereadCost(u, spec, now) * f.recomputedTokens(u, spec, affinity, now),
		Batch:    mean * (fillWeight*load + overflowWeight*max(load-1, 0)),
		Slowness: f.slowness(u, now),
		Failures: errorPenalty*u.errorShare(now) + u.silence.penalty(spec.Once, now),
	}
	if u.Domain != f.settings.Domain {
		e.Remote = remotePenalty * mean
	}
	if u.rateBound(now) {
		e.RateBound = rateBoundPenalty * mean
	}
	// All nodes with the same load reports would otherwise choose the same upstream.
	tie := mixBits(u.placement ^ spec.Seed)
	e.tie = mean * tieWeight * float64(tie>>11) / (1 << 53)
	return e
}
