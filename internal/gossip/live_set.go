package gossip

import (
	"cmp"
	"slices"
	"strings"
)

// liveSet holds the live members and the hashes by which rosters are compared. A change does
// not hash the other members; it only moves those behind it by one place.
type liveSet struct {
	// members are sorted by failure domain and ID.
	members []Member
	hash    uint64
	digest  Digest
}

func newLiveSet() liveSet { return liveSet{digest: make(Digest, bucketCount)} }

// put adds a member, or replaces its earlier state.
func (s *liveSet) put(m Member) {
	s.toggle(&m)
	if i, found := s.find(&m); found {
		s.toggle(&s.members[i])
		s.members[i] = m
	} else {
		s.members = slices.Insert(s.members, i, m)
	}
}

// remove removes the member with m's ID and failure domain, if there is one.
func (s *liveSet) remove(m *Member) {
	if i, found := s.find(m); found {
		s.toggle(&s.members[i])
		s.members = slices.Delete(s.members, i, i+1)
	}
}

func (s *liveSet) find(m *Member) (int, bool) {
	return slices.BinarySearchFunc(s.members, m, func(a Member, b *Member) int { return compareMembers(&a, b) })
}

// toggle adds a member's state to the hashes, or removes it.
func (s *liveSet) toggle(m *Member) {
	h := m.hash()
	s.hash ^= h
	s.digest[bucketOf(m.ID)] ^= uint32(h)
}

// compareMembers orders members by failure domain and ID.
func compareMembers(a, b *Member) int {
	return cmp.Or(strings.Compare(a.Domain, b.Domain), strings.Compare(a.ID, b.ID))
}
