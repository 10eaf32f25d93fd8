package gossip

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is how many parts a roster is compared by: with 1,600 members a part that
// differs has 25.
const bucketCount = 64

// Digest are hashes of a roster's parts, by which two nodes find out where they differ.
//
// It guards against news that grow with the fleet: with a hash of the whole alone, two
// nodes that differed in one member told each other all of them, and in a fleet of
// hundreds some member or other has always just changed.
//
// Only members that live count. A node that has started since never hears of those that
// were dead before, and would differ from all others until they have forgotten them.
type Digest []uint32

// Digest returns the hashes of the roster's parts.
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

// Hash is the same on nodes that know the same members to live.
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

// Differing returns the members, dead ones too, of the parts in which a peer's roster
// differs from this one. A peer's digest of another length tells nothing: then these are
// all members.
func (r *Roster) Differing(theirs Digest, now time.Time) []Member {
	known := r.Known(now)
	if len(theirs) != bucketCount {
		return known
	}
	own := r.Digest()
	return slices.DeleteFunc(known, func(m Member) bool {
		b := bucketOf(m.ID)
		return own[b] == theirs[b]
	})
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

// hash names one state of a member.
func (m *Member) hash() uint64 {
	b := make([]byte, 0, 64)
	b = append(b, m.ID...)
	b = binary.LittleEndian.AppendUint64(b, uint64(m.Born))
	b = binary.LittleEndian.AppendUint64(b, m.Beat)
	return xxhash.Sum64(b)
}
