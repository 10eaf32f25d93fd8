package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peers are the other nodes, in the order of their IDs.
type peers struct {
	all []*peer
	of  map[string]*peer
	// neighbours are told and pulled from directly.
	neighbours []*peer
	// lost are nodes that went without a word.
	lost []lostNode
}

// lostNode is a run of a node that fell silent and is no longer listed.
type lostNode struct {
	id    string
	born  uint64
	heard time.Duration
}

// lostMost bounds the lost nodes remembered.
const lostMost = 64

// set takes the list of nodes.
func (ps *peers) set(ids []string, s *Settings) {
	old := ps.of
	ps.of = make(map[string]*peer, len(ids))
	ps.all = ps.all[:0]
	for _, id := range ids {
		if id == s.Self || ps.of[id] != nil {
			continue
		}
		p := old[id]
		if p == nil {
			p = newPeer(id)
		}
		ps.of[id] = p
		ps.all = append(ps.all, p)
	}
	slices.SortFunc(ps.all, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	ps.dropped(old)
	ps.neighbours = chooseNeighbours(ps.all, s)
}

// dropped notes the nodes that are no longer listed.
func (ps *peers) dropped(old map[string]*peer) {
	var gone []*peer
	for id, p := range old {
		if ps.of[id] == nil && p.ever && !p.bye {
			gone = append(gone, p)
		}
	}
	slices.SortFunc(gone, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	for _, p := range gone {
		ps.lose(p)
	}
}

func (ps *peers) lose(p *peer) {
	ps.lost = append(ps.lost, lostNode{id: p.id, born: p.born, heard: p.heard})
	if len(ps.lost) > lostMost {
		ps.lost = slices.Delete(ps.lost, 0, len(ps.lost)-lostMost)
	}
}

// hear notes a message. A node that comes back as another run has lost what
// the earlier run knew.
func (ps *peers) hear(m *Message, now time.Duration) *peer {
	p := ps.of[m.From]
	if p == nil {
		ps.found(m)
		return nil
	}
	if p.ever && p.born != m.Born {
		if !p.bye {
			ps.lose(p)
		}
		*p = *newPeer(p.id)
	}
	p.born = m.Born
	p.heard = now
	p.ever = true
	return p
}

// found takes back that a node was lost.
func (ps *peers) found(m *Message) {
	ps.lost = slices.DeleteFunc(ps.lost, func(l lostNode) bool { return l.id == m.From && l.born == m.Born })
}

// forget drops the lost nodes that no suspect can be due to any more.
func (ps *peers) forget(before time.Duration) {
	ps.lost = slices.DeleteFunc(ps.lost, func(l lostNode) bool { return l.heard < before })
}

// chooseNeighbours are all others when these are few. When they are many they
// are those at distances of 1, 2, 4 and so on along a ring by hash, so that
// news reaches everyone in a few steps.
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

// voters are the peers whose vote a run needs: all of them when these are few,
// else some by rendezvous hashing of the fingerprint and some of the lane, so
// that any two runs of one fingerprint, or on one lane, need the same ones.
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
