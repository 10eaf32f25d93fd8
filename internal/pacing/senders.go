package pacing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Senders are the nodes among which the rates of upstreams are shared.
type Senders struct {
	self string
	all  []string
	// generation changes with them.
	generation int
}

// Set names this node and all that may send to upstreams, those that are not known to live
// included. With none, this node sends nothing to upstreams with a bound on their rate: it
// has just started, and does not know who else does.
func (s *Senders) Set(self string, all []string) {
	if s.self == self && slices.Equal(s.all, all) {
		return
	}
	*s = Senders{self, slices.Clone(all), s.generation + 1}
}

// amongFirst tells whether this node is one of the first few for an upstream by rendezvous
// hashing: all nodes agree on them without talking.
func (s *Senders) amongFirst(upstream string, few int) bool {
	if len(s.all) == 0 {
		return false
	}
	own := rank(s.self, upstream)
	ahead := 0
	for _, id := range s.all {
		if id != s.self && rank(id, upstream) > own {
			ahead++
		}
	}
	return ahead < few
}

func rank(node, upstream string) uint64 { return xxhash.Sum64String(node + "/" + upstream) }
