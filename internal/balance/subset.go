package balance

import (
	"cmp"
	"slices"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// ownShare is the part of a subset that is in the node's own failure domain,
// as far as there are so many: 3 of 4.
const (
	ownShareOf   = 4
	ownShareTake = 3
)

// member is one upstream of the list with its hash.
type member struct {
	vm   *platform.VM
	hash uint64
}

// subset is which upstreams of a group a node deals with, and in which order
// it looks at the rest.
type subset struct {
	chosen []member
	rest   []member
}

// chooseSubset gives the node at place its part of the group.
//
// All nodes order the group by the same hash, and each takes the window that
// begins at its rank's share of that order. So every upstream falls into the
// windows of about equally many nodes; a random choice would leave some
// upstreams with twice the nodes of others. A member that comes or goes moves
// the order by one, and so a window by one at its ends.
func chooseSubset(group []member, domain string, place Place, size int) subset {
	own, others, rank := split(group, domain)
	fromOwn := min(len(own), max(size*ownShareTake/ownShareOf, size-len(others)))
	fromOthers := min(len(others), size-fromOwn)
	ownAt := place.offset(0, 1, len(own))
	othersAt := place.offset(rank.index, rank.of, len(others))
	var s subset
	s.chosen = append(window(own, ownAt, fromOwn), window(others, othersAt, fromOthers)...)
	s.rest = append(window(own, ownAt+fromOwn, len(own)-fromOwn), window(others, othersAt+fromOthers, len(others)-fromOthers)...)
	return s
}

// domainRank is a failure domain's rank among all.
type domainRank struct {
	index int
	of    int
}

func split(group []member, domain string) (own, others []member, rank domainRank) {
	slices.SortFunc(group, byHash)
	names := []string{domain}
	for _, m := range group {
		if m.vm.FailureDomain == domain {
			own = append(own, m)
			continue
		}
		others = append(others, m)
		names = append(names, m.vm.FailureDomain)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return own, others, domainRank{index: slices.Index(names, domain), of: len(names)}
}

func byHash(a, b member) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.vm.ID, b.vm.ID)
}

// offset is where the node's window begins in a ring of n. The nodes of each
// failure domain are spread over the whole ring, those of different domains
// between each other.
func (p Place) offset(index, parts, n int) int {
	if n == 0 {
		return 0
	}
	count := max(p.Count, 1)
	return (p.Index*parts + index) * n / (parts * count) % n
}

// window returns count members of the ring from at on.
func window(ring []member, at, count int) []member {
	out := make([]member, 0, count)
	for i := range count {
		out = append(out, ring[(at+i)%len(ring)])
	}
	return out
}
