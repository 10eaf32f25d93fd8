package fleet

import "time"

// affinityUpstreams appends to out the upstreams that requests with the same last prefix
// block go to. All nodes agree on them without communication, and few blocks move when an
// upstream comes or goes. Upstreams with an advertised rate limit are left out, because
// most requests with the block could not go there.
//
// They are the first by rendezvous hashing among affinityWindow neighbours in the pool,
// beginning at the block's hash. In a smaller pool this is rendezvous hashing among all; in
// a larger one the cost stays the same, and a block's load is spread over the window.
func (f *Fleet) affinityUpstreams(spec *AttemptSpec, p *pool, now time.Time, out []*Upstream) []*Upstream {
	if len(spec.PrefixBlocks) == 0 {
		return out
	}
	members := p.sorted()
	if len(members) == 0 {
		return out
	}
	hash := blockKey(spec.Model, spec.PrefixBlocks[len(spec.PrefixBlocks)-1].ID)
	first := p.indexFrom(hash)
	var ranks [affinityWidth]uint64
	for i := range members {
		if i >= affinityWindow && len(out) > 0 {
			break
		}
		u := members[(first+i)%len(members)]
		rank := mixBits(u.placement ^ hash)
		if len(out) == affinityWidth && rank <= ranks[affinityWidth-1] {
			continue
		}
		if !u.limited() && f.isCandidate(u, spec, now) {
			out = insertByRank(out, &ranks, u, rank)
		}
	}
	return f.holders(spec, hash, out, now)
}

// insertByRank inserts u into the list of the highest ranks, of which it has one.
func insertByRank(list []*Upstream, ranks *[affinityWidth]uint64, u *Upstream, rank uint64) []*Upstream {
	if len(list) < affinityWidth {
		list = append(list, nil)
	}
	at := len(list) - 1
	for at > 0 && ranks[at-1] < rank {
		list[at], ranks[at] = list[at-1], ranks[at-1]
		at--
	}
	list[at], ranks[at] = u, rank
	return list
}
