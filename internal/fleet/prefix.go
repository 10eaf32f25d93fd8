package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/prefixcache"
)

const (
	// defaultHolders is the number of affinity upstreams of a block whose demand is unknown.
	defaultHolders = 2
	// residenceGain is the weight of a new attempt in the averages of [residence].
	residenceGain = 0.02
)

// prefixState is what a node knows of prefix blocks.
type prefixState struct {
	// sent holds the blocks that this node sent, by upstream; asked holds them over all
	// upstreams.
	sent, asked prefixcache.Table
	// residences are the averages over attempts with prompts, by service.
	residences map[string]*residence
}

// residence is what an attempt occupies at its upstream on average.
type residence struct {
	// tokens is its prompt's length, added the part of it that was not cached.
	tokens, added float64
	seconds       float64
}

// blockKey identifies a prefix block in the cache of one model.
func blockKey(model, block string) uint64 {
	return xxhash.Sum64String(block) ^ mixBits(xxhash.Sum64String(model))
}

// sentKey identifies a block at one incarnation of an upstream: another one keeps nothing.
func (u *Upstream) sentKey(block uint64) uint64 {
	return mixBits(block + u.placement + mixBits(uint64(u.Born)))
}

// keptTokens returns the expected number of the prompt's leading tokens that u keeps, of those
// that this node sent there. A block counts only if all before it are kept.
func (f *Fleet) keptTokens(u *Upstream, spec *AttemptSpec, now time.Time) float64 {
	if u.usage == unused || len(spec.PrefixBlocks) == 0 {
		return 0
	}
	lifetime := f.lifetime(u, spec, now)
	kept, probability := 0.0, 1.0
	for i := range spec.PrefixBlocks {
		p := &spec.PrefixBlocks[i]
		age, known := f.prefix.sent.Age(u.sentKey(blockKey(spec.Model, p.ID)), now)
		if !known {
			break
		}
		probability = min(probability, prefixcache.Kept(age, lifetime))
		kept += probability * float64(p.Tokens)
	}
	return kept
}

// expectedKept returns the number of the prompt's tokens that u probably keeps, by this node's
// own sends or by affinity.
func (f *Fleet) expectedKept(u *Upstream, spec *AttemptSpec, now time.Time) float64 {
	if len(spec.PrefixBlocks) == 0 {
		return 0
	}
	var buffer [affinityWidth]*Upstream
	return f.expectedCached(u, spec, f.affinityUpstreams(spec, f.pool(spec, now), now, buffer[:0]), now)
}

// rereadCost returns the cost of a shared token that is prefilled again, beyond the delay of the
// attempt itself.
func (f *Fleet) rereadCost(u *Upstream, spec *AttemptSpec, now time.Time) float64 {
	cost := evictionWeight + delayWeight*spec.Weight
	if len(spec.PrefixBlocks) == 0 {
		return cost
	}
	last := blockKey(spec.Model, spec.PrefixBlocks[len(spec.PrefixBlocks)-1].ID)
	if d, known := f.demand(spec, last, u.Slots, now); known {
		cost *= d.Discount()
	}
	return cost
}

// lifetime returns how long u probably keeps a block after its last use.
func (f *Fleet) lifetime(u *Upstream, spec *AttemptSpec, now time.Time) time.Duration {
	pressure := f.pressure(u, spec, now)
	return pressure.Lifetime()
}

// pressure estimates the load on u's memory from the attempts of all nodes there.
func (f *Fleet) pressure(u *Upstream, spec *AttemptSpec, now time.Time) prefixcache.Pressure {
	r := f.prefix.residences[spec.Service]
	if spec.TokenCapacity == 0 || r == nil {
		return prefixcache.Pressure{}
	}
	running := min(u.load(now), 1) * float64(u.Slots)
	return prefixcache.Pressure{
		Capacity: float64(spec.TokenCapacity), Held: running * r.tokens,
		PerSecond: running * r.added / max(r.seconds, minResidence),
	}
}

// minResidence is the least duration of an attempt in seconds that pressure assumes.
const minResidence = 0.01

// recordPrefix records that u prefills and caches the prompt's prefix blocks.
func (f *Fleet) recordPrefix(u *Upstream, spec *AttemptSpec, now time.Time) {
	for _, p := range spec.PrefixBlocks {
		key := blockKey(spec.Model, p.ID)
		f.prefix.asked.Touch(key, now)
		f.prefix.sent.Touch(u.sentKey(key), now)
	}
}

// observeResidence records the end of an attempt.
func (f *Fleet) observeResidence(w *Work, now time.Time) {
	if w.tokens == 0 {
		return
	}
	sample := residence{w.tokens, w.tokens - w.kept, now.Sub(w.sentAt).Seconds()}
	r := f.prefix.residences[w.key.service]
	if r == nil {
		f.prefix.residences[w.key.service] = &sample
		return
	}
	r.tokens += residenceGain * (sample.tokens - r.tokens)
	r.added += residenceGain * (sample.added - r.added)
	r.seconds += residenceGain * (sample.seconds - r.seconds)
}

// demand returns the demand for a block over all nodes, from this node's share of it; known is
// false before the first attempt has ended.
func (f *Fleet) demand(spec *AttemptSpec, block uint64, slots int, now time.Time) (d prefixcache.Demand, known bool) {
	r := f.prefix.residences[spec.Service]
	if r == nil {
		return d, false
	}
	rate := f.prefix.asked.Rate(block, now) * float64(max(f.senders.Count(), 1))
	return prefixcache.Demand{Running: rate * r.seconds, Slots: float64(max(slots, 1))}, true
}

// holders returns the first of the candidates, in the order of their ranks, that hold a block:
// as many as its demand and the load of those before them call for.
func (f *Fleet) holders(spec *AttemptSpec, block uint64, ranked []*Upstream, now time.Time) []*Upstream {
	if len(ranked) <= 1 {
		return ranked
	}
	d, known := f.demand(spec, block, ranked[0].Slots, now)
	if !known {
		return ranked[:min(len(ranked), defaultHolders)]
	}
	n := 1
	for n < len(ranked) && d.NeedsAnother(n, ranked[n-1].load(now)) {
		n++
	}
	return ranked[:n]
}
