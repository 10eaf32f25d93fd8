package fleet

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/revision"
)

// Hash returns a hash of the listed records. It is equal on nodes with the same list.
func (f *Fleet) Hash() uint64 { return f.listHash }

// SetRevision sets the table's revision of the changes that follow.
func (f *Fleet) SetRevision(r revision.Revision) { f.revision = r }

// HashAfter returns the hash that the list would have after edits that put records and drop
// upstreams by ID.
func (f *Fleet) HashAfter(put []Record, drop []string) uint64 {
	hash := f.listHash
	for _, r := range put {
		after := Upstream{Record: r}
		hash ^= f.listedHashOf(r.ID) ^ after.recordHash()
	}
	for _, id := range drop {
		hash ^= f.listedHashOf(id)
	}
	return hash
}

// listedHashOf returns the part of an upstream in the list's hash; 0 if it is not listed.
func (f *Fleet) listedHashOf(id string) uint64 {
	if u := f.byID[id]; u != nil {
		return u.listedHash
	}
	return 0
}

// updateListHash applies an upstream's change to the list's hash and history.
func (f *Fleet) updateListHash(u *Upstream, listed bool) {
	hash := uint64(0)
	if listed {
		hash = u.recordHash()
	}
	if hash == u.listedHash {
		return
	}
	f.history.add(change{f.listHash, f.revision, u.ID}, len(f.byID))
	f.listHash ^= u.listedHash ^ hash
	u.listedHash = hash
}

// recordHash hashes the fields of the record that peers compare.
func (u *Upstream) recordHash() uint64 {
	draining := "+"
	if u.Draining {
		draining = "-"
	}
	warmingUp := ""
	if u.Cold > 0 {
		warmingUp = " cold"
	}
	return xxhash.Sum64String(u.Incarnation() + " " + u.Addr + " " + u.Service + " " + u.Version + " " + draining + warmingUp)
}
