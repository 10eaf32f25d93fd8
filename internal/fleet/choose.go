package fleet

import (
	"slices"
	"time"
)

// AttemptSpec describes an attempt and the upstreams that may serve it.
type AttemptSpec struct {
	Service string
	// Version is the version that may serve; empty for any.
	Version string
	// ExcludedVersions are versions that may not serve.
	ExcludedVersions []string
	// Model is the model to run; empty for plain services.
	Model string
	// Weight is the model's work per token, relative to the largest model (1).
	Weight float64
	// Tokens is the prompt's length; 0 for plain services.
	Tokens int
	// PrefixBlocks are the blocks of the prompt's prefix that other requests may share, in
	// order.
	PrefixBlocks []PrefixBlock
	// TokenCapacity is the size of an upstream's memory in tokens; 0 if it is unknown.
	TokenCapacity int
	// Tried are the IDs of the upstreams that this request was already sent to.
	Tried []string
	// MaxUpstreams is the maximum number of usable upstreams of the service that are
	// considered, in order of their IDs; 0 for all. FirstUpstream is the position of the first of
	// them in that order, which continues at its start.
	MaxUpstreams, FirstUpstream int
	// Regions are the regions that may run the request; nil for all.
	Regions []string
	// Plain is set if the service runs no models.
	Plain bool
	// Once is set if the request may run once only.
	Once bool
	// Seed makes ties resolve differently on each node and request.
	Seed uint64
}

// PrefixBlock is one block of a prompt's prefix.
type PrefixBlock struct {
	// ID identifies the block's content.
	ID string
	// Tokens is the block's length.
	Tokens int
}

// Choose returns the upstream with the least cost for the attempt, or nil if none may take
// it.
func (f *Fleet) Choose(spec AttemptSpec, now time.Time) *Upstream {
	var buffer [sampleSize + 2*affinityWidth]*Upstream
	var affinityBuffer [affinityWidth]*Upstream
	considered, affinity, unconfirmed := f.considered(&spec, now, buffer[:0], affinityBuffer[:0])
	if unconfirmed != nil {
		return unconfirmed
	}
	var best *Upstream
	var bestCost float64
	for _, u := range considered {
		e := f.estimate(u, &spec, affinity, now)
		if total := e.Total(); best == nil || total < bestCost {
			best, bestCost = u, total
		}
	}
	return best
}

// considered appends the candidates that are compared to all, and the affinity upstreams among
// them to affinity. unconfirmed is the upstream that gets the attempt without a comparison; nil
// for none.
func (f *Fleet) considered(spec *AttemptSpec, now time.Time, all, affinity []*Upstream) (_, _ []*Upstream, unconfirmed *Upstream) {
	all = f.rateBoundCandidates(spec, now, all)
	for _, u := range all {
		if u.isUnconfirmed(now) {
			return all, affinity, u
		}
	}
	p := f.pool(spec, now)
	affinity = f.affinityUpstreams(spec, p, now, affinity)
	return f.sample(spec, p, now, append(all, affinity...)), affinity, nil
}

// isCandidate reports whether u may take the attempt now.
func (f *Fleet) isCandidate(u *Upstream, spec *AttemptSpec, now time.Time) bool {
	return f.exclusion(u, spec, now) == NotExcluded
}

// pool returns the upstreams among which the attempt's candidates are.
func (f *Fleet) pool(spec *AttemptSpec, now time.Time) *pool {
	p := f.services[spec.Service].poolFor(spec)
	if p == nil || spec.MaxUpstreams == 0 {
		return p
	}
	limited := &pool{}
	for _, u := range p.sorted() {
		if len(limited.members) == spec.MaxUpstreams && spec.FirstUpstream == 0 {
			break
		}
		if f.matches(u, spec) && f.usable(u, now) {
			limited.members = append(limited.members, u)
		}
	}
	if spec.FirstUpstream > 0 {
		limited.members = window(limited.members, spec.FirstUpstream, spec.MaxUpstreams)
	}
	return limited
}

// window returns count members from a position on, in the order of the members.
func window(members []*Upstream, first, count int) []*Upstream {
	n := len(members)
	if n <= count {
		return members
	}
	var chosen []*Upstream
	for i, u := range members {
		if (i-first%n+n)%n < count {
			chosen = append(chosen, u)
		}
	}
	return chosen
}

// sample appends up to sampleSize candidates to out, selected by the seed.
//
// All nodes see the same load reports with the same delay. If each node chose the least
// loaded of all upstreams, all would send there until the next report. The choice among a
// few random upstreams evens out the load.
//
// Random members of the pool are drawn until enough of them are candidates. Only where few
// are, all members are examined.
func (f *Fleet) sample(spec *AttemptSpec, p *pool, now time.Time, out []*Upstream) []*Upstream {
	members := p.sorted()
	before, seed := len(out), spec.Seed
	if len(members) > maxDraws {
		for i := range uint64(maxDraws) {
			seed = mixBits(seed + i + 1)
			if u := members[seed%uint64(len(members))]; f.isCandidate(u, spec, now) {
				out = append(out, u)
			}
			if len(out) == before+sampleSize {
				return out
			}
		}
		out = out[:before]
	}
	candidates := f.candidates(spec, members, now)
	if len(candidates) <= sampleSize {
		return append(out, candidates...)
	}
	for i := range uint64(sampleSize) {
		seed = mixBits(seed + i + 1)
		out = append(out, candidates[seed%uint64(len(candidates))])
	}
	return out
}

// candidates returns the members that may take the attempt now.
func (f *Fleet) candidates(spec *AttemptSpec, members []*Upstream, now time.Time) []*Upstream {
	var candidates []*Upstream
	for _, u := range members {
		if f.isCandidate(u, spec, now) {
			candidates = append(candidates, u)
		}
	}
	return candidates
}

// Count returns the number of usable upstreams of a version, and of all versions.
func (f *Fleet) Count(service, version string, now time.Time) (ofVersion, all int) {
	for _, u := range f.services[service].all() {
		if !f.usable(u, now) {
			continue
		}
		all++
		if u.Version == version {
			ofVersion++
		}
	}
	return ofVersion, all
}

// ServiceLoad returns the share of slots in use at the usable upstreams of a version, from
// 0; above 1, requests queue. In a large service it is estimated from loadSampleSize
// upstreams, which are spread evenly.
func (f *Fleet) ServiceLoad(service, version string, now time.Time) float64 {
	members := f.services[service].ofVersion(version)
	step := max(len(members)/loadSampleSize, 1)
	used, slots := 0.0, 0.0
	for i := 0; i < len(members); i += step {
		f.examined++
		if u := members[i]; f.usable(u, now) {
			used += u.load(now) * float64(u.Slots)
			slots += float64(u.Slots)
		}
	}
	return used / max(slots, 1)
}

// matches reports whether u meets the spec's region, version and model.
func (f *Fleet) matches(u *Upstream, spec *AttemptSpec) bool {
	return f.mismatch(u, spec) == NotExcluded
}

// attemptWork returns the work of an attempt at u: the prompt's uncached tokens times the
// model's weight. An attempt at a plain service counts as 1. If u is nil, nothing counts as
// cached.
func (f *Fleet) attemptWork(u *Upstream, spec *AttemptSpec, affinity []*Upstream, now time.Time) float64 {
	return spec.work(f.expectedCached(u, spec, affinity, now))
}

// work returns the work of an attempt of whose prompt the given number of tokens is cached.
func (spec *AttemptSpec) work(cached float64) float64 {
	if spec.Tokens == 0 {
		return 1
	}
	return max(float64(spec.Tokens)-cached, minTokens) * max(spec.Weight, minWeight)
}

// expectedCached returns the number of the prompt's tokens that u probably has cached.
func (f *Fleet) expectedCached(u *Upstream, spec *AttemptSpec, affinity []*Upstream, now time.Time) float64 {
	cached := 0.0
	if u != nil {
		cached = f.keptTokens(u, spec, now)
	}
	if i := slices.Index(affinity, u); i >= 0 {
		cached = max(cached, affinityCachedShare/float64(i+1)*float64(prefixTokens(spec)))
	}
	return cached
}

// recomputedTokens returns the number of shared tokens that u would have to prefill
// although another upstream probably has them cached.
//
// Without this cost, load alone would decide for small models: they prefill a prompt so
// fast that the upstream matters little to the request. Every upstream would then prefill
// and cache every shared block.
func (f *Fleet) recomputedTokens(u *Upstream, spec *AttemptSpec, affinity []*Upstream, now time.Time) float64 {
	return max(float64(prefixTokens(spec))-f.expectedCached(u, spec, affinity, now), 0)
}

// prefixTokens returns the length of the prompt's shared prefix.
func prefixTokens(spec *AttemptSpec) int {
	n := 0
	for _, p := range spec.PrefixBlocks {
		n += p.Tokens
	}
	return n
}

// mixBits is the 64-bit finalizer of MurmurHash3.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
