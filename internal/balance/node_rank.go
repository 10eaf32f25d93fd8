package balance

import (
	"github.com/hickorybank/hickorybank/internal/platform"
)

// NodeRank is a node's rank among the entry nodes of its failure domain: Index of Count,
// from 0. Ranks spread the subsets evenly, so that each upstream is selected by about
// equally many nodes.
type NodeRank struct {
	Index int
	Count int
}

// NodeRankOf returns the rank of the node self in a list of VMs. A node that is not listed
// yet gets the rank that its ID would have.
func NodeRankOf(vms []platform.VM, self, domain string) NodeRank {
	rank := NodeRank{Count: 1}
	for i := range vms {
		v := &vms[i]
		if v.Role != platform.RoleEntry || v.FailureDomain != domain || v.ID == self {
			continue
		}
		rank.Count++
		if v.ID < self {
			rank.Index++
		}
	}
	return rank
}
