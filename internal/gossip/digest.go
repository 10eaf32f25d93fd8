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
func (r *Roster) Digest() Digest {
	if r.derived.digest == nil {
		r.derived.digest = r.digest()
	}
	return r.derived.digest
}

func (r *Roster) digest() Digest {
	d := make(Digest, bucketCount)
	for _, m := range r.Alive() {
		d[bucketOf(m.ID)] ^= uint32(m.hash())
	}
	return d
}

// Hash returns a hash of the live members. It is equal on nodes that agree on them.
func (r *Roster) Hash() uint64 {
	if !r.derived.hashed {
		r.derived.hash, r.derived.hashed = r.hash(), true
	}
	return r.derived.hash
}

func (r *Roster) hash() uint64 {
	var sum uint64
	for _, m := range r.Alive() {
		sum ^= m.hash()
	}
	return sum
}

// Differing returns the members, dead ones included, of the buckets in which a peer's roster
// differs from this one. If the peer's digest has a different number of buckets, it returns
// all members.
func (r *Roster) Differing(remote Digest, now time.Time) []Member {
	known := r.Known(now)
	if len(remote) != bucketCount {
		return known
	}
	own := r.Digest()
	return slices.DeleteFunc(known, func(m Member) bool {
		b := bucketOf(m.ID)
		return own[b] == remote[b]
	})
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
