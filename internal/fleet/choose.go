package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// AttemptSpec is what an attempt asks of its upstream.
type AttemptSpec struct {
	Service string
	// Version is the version that may serve; empty for any.
	Version string
	// NotVersions are versions that may not serve.
	NotVersions []string
	// Model is the model to run; empty for plain services.
	Model string
	// Weight is the model's work for a token, 1 for the largest.
	Weight float64
	// Tokens is the prompt's size; 0 for plain services.
	Tokens int
	// Parts are the prompt's parts in order that others may share.
	Parts []Part
	// Tried are the IDs of upstreams that this request was sent to.
	Tried []string
	// Most bounds how many upstreams of the service, in a fixed order, may be
	// used; 0 for all.
	Most int
	// Regions are those that may run the request; nil for all.
	Regions []string
	// Seed breaks ties differently on each node and request.
	Seed uint64
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Choose returns the upstream with the least cost for the attempt, or nil when
// none may take it.
func (f *Fleet) Choose(w AttemptSpec, now time.Time) *Upstream {
	var best *Upstream
	var bestCost float64
	able := f.able(&w, now)
	if u := unconfirmed(able, now); u != nil {
		return u
	}
	holders := holders(&w, able)
	drawn := append(sample(able, w.Seed, sampleSize), holders...)
	for _, u := range append(drawn, pacedOf(able, now)...) {
		c := f.cost(u, &w, holders, now)
		if best == nil || c < bestCost {
			best, bestCost = u, c
		}
	}
	return best
}

// able returns the upstreams that may take the attempt now.
func (f *Fleet) able(w *AttemptSpec, now time.Time) []*Upstream {
	var able []*Upstream
	seen := 0
	for _, u := range f.services[w.Service] {
		if !f.fits(u, w) || !f.usable(u, now) {
			continue
		}
		seen++
		if w.Most > 0 && seen > w.Most {
			break
		}
		if !slices.Contains(w.Tried, u.ID) && f.admits(u, now) {
			able = append(able, u)
		}
	}
	return able
}

// sample returns some of the upstreams, others for each seed.
//
// All nodes hear the same late words on load. If each took the least loaded of
// all, they would all send there until the next word comes; among a few drawn
// by lot the load evens out instead.
func sample(all []*Upstream, seed uint64, size int) []*Upstream {
	if len(all) <= size {
		return slices.Clone(all)
	}
	drawn := make([]*Upstream, 0, size+affinityWidth)
	for i := range uint64(size) {
		seed = mix(seed + i + 1)
		drawn = append(drawn, all[seed%uint64(len(all))])
	}
	return drawn
}

// Count returns how many upstreams of a version are ready, and how many of
// all versions.
func (f *Fleet) Count(service, version string, now time.Time) (ofVersion, all int) {
	for _, u := range f.services[service] {
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

// ServiceLoad is the share of the slots in use at the upstreams of a version.
func (f *Fleet) ServiceLoad(service, version string, now time.Time) float64 {
	used, slots := 0.0, 0.0
	for _, u := range f.services[service] {
		if u.Version == version && f.usable(u, now) {
			used += u.load(now) * float64(u.Slots)
			slots += float64(u.Slots)
		}
	}
	return used / max(slots, 1)
}

func (f *Fleet) fits(u *Upstream, w *AttemptSpec) bool {
	if w.Regions != nil && !slices.Contains(w.Regions, f.settings.Regions[u.Domain]) {
		return false
	}
	if w.Version != "" && u.Version != w.Version {
		return false
	}
	if slices.Contains(w.NotVersions, u.Version) {
		return false
	}
	return w.Model == "" || len(u.Models) == 0 || slices.Contains(u.Models, w.Model)
}

// holders are the upstreams to which requests with the same last shared part
// go, by rendezvous hashing: all nodes agree on them without talking, and few
// parts move when an upstream comes or goes. One that names a rate limit holds none: most
// requests with the part could not go there.
func holders(w *AttemptSpec, able []*Upstream) []*Upstream {
	if len(w.Parts) == 0 {
		return nil
	}
	part := w.Parts[len(w.Parts)-1].ID
	type ranked struct {
		u    *Upstream
		rank uint64
	}
	var top []ranked
	for _, u := range able {
		if u.limited() {
			continue
		}
		top = append(top, ranked{u, xxhash.Sum64String(u.ID + "/" + w.Model + "/" + part)})
	}
	slices.SortFunc(top, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var out []*Upstream
	for _, r := range top[:min(len(top), affinityWidth)] {
		out = append(out, r.u)
	}
	return out
}

// cost is how long the attempt would wait at u, in the work of a mean attempt:
// the work that waits there, its own, and a share for a batch that fills up.
//
// Reading prompts is what holds a batch up; requests that only generate hardly
// slow each other down until the slots are full.
func (f *Fleet) cost(u *Upstream, w *AttemptSpec, holders []*Upstream, now time.Time) float64 {
	mean := f.meanWork(w)
	c := u.waitingWork(mean, now) + f.work(u, w, holders, now)
	c += rereadWeight * f.reread(u, w, holders, now)
	load := u.load(now)
	c += mean * (fillWeight*load + fullWeight*max(load-1, 0))
	c *= 1 + errorPenalty*u.errorShare(now)
	if u.Domain != f.settings.Domain {
		c += remotePenalty * mean
	}
	if u.paced(now) {
		c += pacedPenalty * mean
	}
	// Ties go different ways on different requests: nodes that all see the
	// same reports would otherwise all send to the same upstream.
	tie := mix(xxhash.Sum64String(u.ID) ^ w.Seed)
	return c + mean*tieWeight*float64(tie>>11)/(1<<53)
}

// work is what an attempt costs u: the prompt's tokens that it has not cached,
// by the model's weight. A plain call counts as one. With no u, nothing is
// taken to be cached.
func (f *Fleet) work(u *Upstream, w *AttemptSpec, holders []*Upstream, now time.Time) float64 {
	if w.Tokens == 0 {
		return 1
	}
	return max(float64(w.Tokens)-f.kept(u, w, holders, now), leastTokens) * max(w.Weight, leastWeight)
}

// kept is how many of the prompt's tokens u is taken to have cached.
func (f *Fleet) kept(u *Upstream, w *AttemptSpec, holders []*Upstream, now time.Time) float64 {
	kept := 0.0
	if u != nil {
		kept = float64(u.cached(w, now))
	}
	if i := slices.Index(holders, u); i >= 0 {
		kept = max(kept, holderKeeps/float64(i+1)*float64(sharedTokens(w)))
	}
	return kept
}

// reread is how many tokens u would read again that others may need as well.
//
// It guards against work that is spread by load alone once the load is known: a
// small model reads a prompt in no time, so that its upstream matters little to
// the request, and every upstream would read, and keep, every shared part.
func (f *Fleet) reread(u *Upstream, w *AttemptSpec, holders []*Upstream, now time.Time) float64 {
	return max(float64(sharedTokens(w))-f.kept(u, w, holders, now), 0)
}

func sharedTokens(w *AttemptSpec) int {
	n := 0
	for _, p := range w.Parts {
		n += p.Tokens
	}
	return n
}

// mix spreads the bits of a seed.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
