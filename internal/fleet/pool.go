package fleet

import (
	"cmp"
	"slices"
)

// pool is a set of upstreams, sorted by their placement hashes. Nodes that list the same
// upstreams have the same order, and an upstream that comes or goes moves no other one.
type pool struct {
	members []*Upstream
	// unsorted is set while a member was appended out of order: a long list is sorted once,
	// not after each record.
	unsorted bool
}

func byPlacement(a, b *Upstream) int {
	return cmp.Or(cmp.Compare(a.placement, b.placement), cmp.Compare(a.ID, b.ID))
}

// add adds an upstream that is not a member yet.
func (p *pool) add(u *Upstream) {
	if n := len(p.members); n > 0 && byPlacement(p.members[n-1], u) > 0 {
		p.unsorted = true
	}
	p.members = append(p.members, u)
}

// remove removes an upstream; it does nothing if the upstream is not a member.
func (p *pool) remove(u *Upstream) {
	if i, found := slices.BinarySearchFunc(p.sorted(), u, byPlacement); found {
		p.members = slices.Delete(p.members, i, i+1)
	}
}

// sorted returns the members in order. The caller must not modify them, and may use them
// until the pool changes.
func (p *pool) sorted() []*Upstream {
	if p == nil {
		return nil
	}
	if p.unsorted {
		slices.SortFunc(p.members, byPlacement)
		p.unsorted = false
	}
	return p.members
}

// indexFrom returns the index of the first member at or after a hash.
func (p *pool) indexFrom(hash uint64) int {
	i, _ := slices.BinarySearchFunc(p.sorted(), hash, func(u *Upstream, h uint64) int { return cmp.Compare(u.placement, h) })
	return i
}
