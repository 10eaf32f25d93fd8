package pacing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Senders is the set of nodes that share the upstreams' rates.
type Senders struct {
	self  string
	nodes []string
	// generation increases each time the set changes.
	generation int
}

// Set sets the ID of this node and the IDs of all nodes that may send to upstreams,
// including those whose liveness is unknown. With an empty list, this node sends nothing to
// upstreams with a bound on their rate: it has just started and does not know the other
// senders yet.
func (s *Senders) Set(self string, nodes []string) {
	if s.self == self && slices.Equal(s.nodes, nodes) {
		return
	}
	*s = Senders{self, slices.Clone(nodes), s.generation + 1}
}

// Count returns the number of nodes; 0 while they are unknown.
func (s *Senders) Count() int { return len(s.nodes) }

// isSender reports whether this node is among the first count nodes of an upstream by
// rendezvous hashing. All nodes compute the same senders without communication.
func (s *Senders) isSender(upstream string, count int) bool {
	if len(s.nodes) == 0 {
		return false
	}
	ownScore := score(s.self, upstream)
	ahead := 0
	for _, id := range s.nodes {
		if id != s.self && score(id, upstream) > ownScore {
			ahead++
		}
	}
	return ahead < count
}

// score is the rendezvous hashing weight of a node for an upstream.
func score(node, upstream string) uint64 { return xxhash.Sum64String(node + "/" + upstream) }
