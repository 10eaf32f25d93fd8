package balance

import (
	"cmp"
	"slices"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// ownDomainNumerator of ownDomainDenominator upstreams in a subset, 3 of 4, are in the
// node's own failure domain if it has that many.
const (
	ownDomainDenominator = 4
	ownDomainNumerator   = 3
)

// member is a listed upstream with its hash.
type member struct {
	vm   *platform.VM
	hash uint64
}

// subset is a node's selection from a group of upstreams, with the unselected ones in
// search order.
type subset struct {
	selected   []member
	unselected []member
}

// chooseSubset selects size upstreams of the group for the node of the given rank.
//
// All nodes sort the group by the same hash, and each takes the window that starts at its
// rank's share of that order. So about equally many nodes select each upstream; with
// random selection some upstreams would have twice the nodes of others. A member that
// joins or leaves shifts the order by one, and so changes a window by one at its ends.
func chooseSubset(group []member, domain string, nodeRank NodeRank, size int) subset {
	local, remote, rank := splitByDomain(group, domain)
	localCount := min(len(local), max(size*ownDomainNumerator/ownDomainDenominator, size-len(remote)))
	remoteCount := min(len(remote), size-localCount)
	localOffset := nodeRank.offset(0, 1, len(local))
	remoteOffset := nodeRank.offset(rank.index, rank.count, len(remote))
	var s subset
	s.selected = append(window(local, localOffset, localCount), window(remote, remoteOffset, remoteCount)...)
	s.unselected = append(window(local, localOffset+localCount, len(local)-localCount), window(remote, remoteOffset+remoteCount, len(remote)-remoteCount)...)
	return s
}

// domainRank is a failure domain's position among all failure domains, sorted by name.
type domainRank struct {
	index int
	count int
}

func splitByDomain(group []member, domain string) (local, remote []member, rank domainRank) {
	slices.SortFunc(group, byHash)
	names := []string{domain}
	for _, m := range group {
		if m.vm.FailureDomain == domain {
			local = append(local, m)
			continue
		}
		remote = append(remote, m)
		names = append(names, m.vm.FailureDomain)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return local, remote, domainRank{index: slices.Index(names, domain), count: len(names)}
}

func byHash(a, b member) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.vm.ID, b.vm.ID)
}

// offset returns where the node's window starts in a ring of n. The nodes of each failure
// domain are spread over the whole ring; those of different domains are interleaved.
func (r NodeRank) offset(index, parts, n int) int {
	if n == 0 {
		return 0
	}
	count := max(r.Count, 1)
	return (r.Index*parts + index) * n / (parts * count) % n
}

// window returns n members of the ring from start on.
func window(ring []member, start, n int) []member {
	out := make([]member, 0, n)
	for i := range n {
		out = append(out, ring[(start+i)%len(ring)])
	}
	return out
}
