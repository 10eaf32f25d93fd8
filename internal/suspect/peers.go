package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peers are the other nodes, sorted by ID.
type peers struct {
	all  []*peer
	byID map[string]*peer
	// neighbours get alerts and pulls directly.
	neighbours []*peer
	// lost are nodes that left without the message Leaving.
	lost []lostNode
}

// lostNode is a run of a node that stopped sending and is no longer listed, or was
// replaced.
type lostNode struct {
	id        string
	born      uint64
	lastHeard time.Duration
}

// maxLost bounds the lost nodes kept.
const maxLost = 64

// set replaces the list of nodes.
func (ps *peers) set(ids []string, s *Settings) {
	old := ps.byID
	ps.byID = make(map[string]*peer, len(ids))
	ps.all = ps.all[:0]
	for _, id := range ids {
		if id == s.Self || ps.byID[id] != nil {
			continue
		}
		p := old[id]
		if p == nil {
			p = newPeer(id)
		}
		ps.byID[id] = p
		ps.all = append(ps.all, p)
	}
	slices.SortFunc(ps.all, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	ps.addUnlisted(old)
	ps.neighbours = chooseNeighbours(ps.all, s)
}

// addUnlisted adds the nodes that are no longer listed to the lost ones.
func (ps *peers) addUnlisted(old map[string]*peer) {
	var gone []*peer
	for id, p := range old {
		if ps.byID[id] == nil && p.everHeard && !p.left {
			gone = append(gone, p)
		}
	}
	slices.SortFunc(gone, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	for _, p := range gone {
		ps.addLost(p)
	}
}

func (ps *peers) addLost(p *peer) {
	ps.lost = append(ps.lost, lostNode{id: p.id, born: p.born, lastHeard: p.lastHeard})
	if len(ps.lost) > maxLost {
		ps.lost = slices.Delete(ps.lost, 0, len(ps.lost)-maxLost)
	}
}

// received records a message. A node that returns as another run has lost what its
// earlier run knew.
func (ps *peers) received(m *Message, now time.Duration) *peer {
	p := ps.byID[m.From]
	if p == nil {
		ps.removeLost(m)
		return nil
	}
	if p.everHeard && p.born != m.Born {
		if !p.left {
			ps.addLost(p)
		}
		*p = *newPeer(p.id)
	}
	p.born = m.Born
	p.lastHeard = now
	p.everHeard = true
	return p
}

// removeLost removes the message's sender from the lost nodes.
func (ps *peers) removeLost(m *Message) {
	ps.lost = slices.DeleteFunc(ps.lost, func(l lostNode) bool { return l.id == m.From && l.born == m.Born })
}

// forgetLost drops lost nodes that no known suspect can be related to any more.
func (ps *peers) forgetLost(before time.Duration) {
	ps.lost = slices.DeleteFunc(ps.lost, func(l lostNode) bool { return l.lastHeard < before })
}

// chooseNeighbours returns all others if there are few. Otherwise it returns those at
// distances of 1, 2, 4 and so on along a ring by hash, so that records reach every node
// in a few steps.
func chooseNeighbours(all []*peer, s *Settings) []*peer {
	if len(all) <= s.Degree {
		return all
	}
	ring := slices.Clone(all)
	ring = append(ring, newPeer(s.Self))
	slices.SortFunc(ring, func(a, b *peer) int { return cmp.Compare(xxhash.Sum64String(a.id), xxhash.Sum64String(b.id)) })
	self := slices.IndexFunc(ring, func(p *peer) bool { return p.id == s.Self })
	var out []*peer
	for d := 1; d < len(ring) && len(out) < s.Degree; d *= 2 {
		out = append(out, ring[(self+d)%len(ring)])
	}
	return out
}

// voters are the peers whose vote a run needs: all of them if there are few, else some by
// rendezvous hashing of the fingerprint and some of the lane. So any two runs of one
// fingerprint, or on one lane, need the same votes.
func (ps *peers) voters(w waiter, s *Settings) []*peer {
	if len(ps.all) <= s.Degree {
		return slices.Clone(ps.all)
	}
	out := ps.ranked(string(w.fingerprint[:]), s.Voters)
	for _, p := range ps.ranked(w.lane, s.Voters) {
		if !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

func (ps *peers) ranked(key string, count int) []*peer {
	ranked := slices.Clone(ps.all)
	rank := func(p *peer) uint64 { return xxhash.Sum64String(key + p.id) }
	slices.SortFunc(ranked, func(a, b *peer) int { return cmp.Compare(rank(b), rank(a)) })
	return ranked[:min(len(ranked), count)]
}
