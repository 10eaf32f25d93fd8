package gossip

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets by which rosters are compared. With 1,600 members a
// bucket has 25.
const bucketCount = 64

// Digest holds a hash of each bucket of a roster, by which two nodes find the members in
// which they differ.
//
// It keeps messages small in large fleets. With a hash of the whole roster alone, two nodes
// that differ in one member would send each other all of them, and in a fleet of hundreds
// some member has always just changed.
//
// Only live members count. A node never learns of members that died before it started, and
// would otherwise differ from all others until they have dropped those members.
type Digest []uint32

// Digest returns the hashes of the roster's buckets.
func (r *Roster) Digest() Digest { return slices.Clone(r.live.digest) }

// Hash returns a hash of the live members. It is equal on nodes that agree on them.
func (r *Roster) Hash() uint64 { return r.live.hash }

// Mark identifies a member and its state. Marks are a tenth of the size of members, so that
// two nodes that differ transfer only the members in which they do.
type Mark uint64

// Marks returns the marks of the members, dead ones included, of the buckets in which a peer's
// roster differs from this one; those of all members if the peer's digest has a different
// number of buckets.
func (r *Roster) Marks(remote Digest, now time.Time) []Mark {
	var marks []Mark
	r.visitDiffering(remote, now, func(m *Member) { marks = append(marks, m.mark()) })
	slices.Sort(marks)
	return marks
}

// Missing returns the members, dead ones included, that a peer lacks or knows in another state.
// remote and marks are the peer's digest and its sorted marks of the buckets that differ.
func (r *Roster) Missing(remote Digest, marks []Mark, now time.Time) []Member {
	var missing []Member
	r.visitDiffering(remote, now, func(m *Member) {
		if _, known := slices.BinarySearch(marks, m.mark()); !known {
			missing = append(missing, *m)
		}
	})
	slices.SortFunc(missing, byID)
	return missing
}

// visitDiffering visits the members of the buckets in which a peer's roster differs, or all
// members if the peer's digest has a different number of buckets.
func (r *Roster) visitDiffering(remote Digest, now time.Time, visit func(m *Member)) {
	r.expire(now)
	differs := func(id string) bool {
		b := bucketOf(id)
		return len(remote) != bucketCount || r.live.digest[b] != remote[b]
	}
	if differs(r.self.ID) {
		visit(&r.self)
	}
	for id, e := range r.members {
		if differs(id) {
			visit(&e.Member)
		}
	}
}

// mark returns the member's mark. The upper half identifies the member.
func (m *Member) mark() Mark {
	state := uint32(m.hash())
	if m.Dead {
		state = ^state
	}
	return Mark(xxhash.Sum64String(m.ID)>>32<<32 | uint64(state))
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

// hash identifies one state of a member.
func (m *Member) hash() uint64 {
	b := make([]byte, 0, 64)
	b = append(b, m.ID...)
	b = binary.LittleEndian.AppendUint64(b, uint64(m.Born))
	b = binary.LittleEndian.AppendUint64(b, m.Beat)
	return xxhash.Sum64(b)
}
