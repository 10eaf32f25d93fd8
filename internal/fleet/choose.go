package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Want is what an attempt asks of its upstream.
type Want struct {
	Service string
	// Version is the version that may serve; empty for any.
	Version string
	// NotVersions are versions that may not serve.
	NotVersions []string
	// Model is the model to run; empty for plain services.
	Model string
	// Part is the prompt part that a cache may hold; empty for none.
	Part string
	// Tried are the IDs of upstreams that this request was sent to.
	Tried []string
	// Most bounds how many upstreams of the service, in a fixed order, may be
	// used; 0 for all.
	Most int
	// Seed breaks ties differently on each node and request.
	Seed uint64
}

// Choose returns the upstream with the least cost for the attempt, or nil when
// none may take it.
func (f *Fleet) Choose(w Want, now time.Time) *Upstream {
	var best *Upstream
	var bestCost float64
	able := f.able(&w, now)
	holders := holders(&w, able)
	for _, u := range append(sample(able, w.Seed, sampleSize), holders...) {
		c := f.cost(u, &w, holders, now)
		if best == nil || c < bestCost {
			best, bestCost = u, c
		}
	}
	return best
}

// able returns the upstreams that may take the attempt now.
func (f *Fleet) able(w *Want, now time.Time) []*Upstream {
	var able []*Upstream
	seen := 0
	for _, u := range f.services[w.Service] {
		if !fits(u, w) || !u.ready(now) {
			continue
		}
		seen++
		if w.Most > 0 && seen > w.Most {
			break
		}
		if !slices.Contains(w.Tried, u.ID) {
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
		if !u.ready(now) {
			continue
		}
		all++
		if u.Version == version {
			ofVersion++
		}
	}
	return ofVersion, all
}

// Idle tells whether some upstream of the service has a free slot.
func (f *Fleet) Idle(service string, now time.Time) bool {
	for _, u := range f.services[service] {
		if u.ready(now) && u.load(now) < 1 {
			return true
		}
	}
	return false
}

func fits(u *Upstream, w *Want) bool {
	if w.Version != "" && u.Version != w.Version {
		return false
	}
	if slices.Contains(w.NotVersions, u.Version) {
		return false
	}
	return w.Model == "" || len(u.Models) == 0 || slices.Contains(u.Models, w.Model)
}

// holders are the upstreams to which requests with the same prompt part go, by
// rendezvous hashing: all nodes agree on them without talking, and few parts
// move when an upstream comes or goes.
func holders(w *Want, able []*Upstream) []*Upstream {
	if w.Part == "" {
		return nil
	}
	type ranked struct {
		u    *Upstream
		rank uint64
	}
	var top []ranked
	for _, u := range able {
		top = append(top, ranked{u, xxhash.Sum64String(u.ID + "/" + w.Model + "/" + w.Part)})
	}
	slices.SortFunc(top, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var out []*Upstream
	for _, r := range top[:min(len(top), affinityWidth)] {
		out = append(out, r.u)
	}
	return out
}

// cost is what sending to u would cost, in shares of its slots.
func (f *Fleet) cost(u *Upstream, w *Want, holders []*Upstream, now time.Time) float64 {
	c := u.load(now)
	c += errorPenalty * u.errorShare(now)
	if u.Domain != f.settings.Domain {
		c += remotePenalty
	}
	if u.Cold > 0 {
		c += affinityGain
	}
	if i := slices.Index(holders, u); i >= 0 {
		c -= affinityGain / float64(i+1)
	}
	// Ties go different ways on different requests: nodes that all see the
	// same reports would otherwise all send to the same upstream.
	tie := xxhash.Sum64String(u.ID) ^ w.Seed
	return c + float64(mix(tie)>>54)/1e6
}

// mix spreads the bits of a seed.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
