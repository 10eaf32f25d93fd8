package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// senders are the nodes among which the rates of upstreams are shared.
type senders struct {
	self string
	all  []string
	// generation changes with them.
	generation int
}

// SetSenders names this node and all that may send to upstreams, those that are not known
// to live included. With none, this node sends nothing to upstreams with a bound on their
// rate: it has just started, and does not know who else does.
func (f *Fleet) SetSenders(self string, all []string) {
	if f.senders.self == self && slices.Equal(f.senders.all, all) {
		return
	}
	f.senders = senders{self, slices.Clone(all), f.senders.generation + 1}
}

// amongFirst tells whether this node is one of the first few by rendezvous hashing: all
// nodes agree on them without talking.
func (s *senders) amongFirst(u *Upstream, few int) bool {
	if len(s.all) == 0 {
		return false
	}
	own := senderRank(s.self, u)
	ahead := 0
	for _, id := range s.all {
		if id != s.self && senderRank(id, u) > own {
			ahead++
		}
	}
	return ahead < few
}

func senderRank(node string, u *Upstream) uint64 { return xxhash.Sum64String(node + "/" + u.Start()) }
