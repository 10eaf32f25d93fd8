package gateway

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// maxAddresses is the maximum number of addresses in an answer of the directory. Each answer
// of a larger fleet draws its own, so that callers spread over all nodes.
const maxAddresses = 96

// Addresses returns listen addresses of nodes that callers of a host in a region should
// connect to, at most 96 of them, and how long callers may cache them.
//
// Routes of the host may bind their requests to regions, and a request should not pass
// through another region. Addresses then returns nodes of the caller's own region, or else
// those of the regions that the routes allow.
func (n *Node) Addresses(host, region string) ([]string, time.Duration) {
	n.mu.Lock()
	serving := slices.DeleteFunc(slices.Clone(n.roster.Alive()), func(m gossip.Member) bool {
		return !m.Ready || m.Leaving || m.Front == ""
	})
	n.mu.Unlock()
	var allowed []string
	if table := n.routingTable(); table != nil {
		allowed = table.Regions(host)
	}
	if len(allowed) > 0 {
		serving = withinRegions(serving, region, allowed)
	}
	serving = n.draw(serving, maxAddresses)
	var all []string
	for _, m := range serving {
		all = append(all, m.Front)
	}
	return all, n.settings.AddressTTL
}

// draw returns all members, or a random selection of count if there are more. It may reorder
// them.
func (n *Node) draw(members []gossip.Member, count int) []gossip.Member {
	if len(members) <= count {
		return members
	}
	for i := range count {
		k := i + n.draws.IntN(len(members)-i)
		members[i], members[k] = members[k], members[i]
	}
	return members[:count]
}

// withinRegions returns the members in the caller's region. Without any it returns the
// members in the allowed regions, and without these all members.
func withinRegions(members []gossip.Member, region string, allowed []string) []gossip.Member {
	for _, regions := range [][]string{{region}, allowed} {
		var within []gossip.Member
		for _, m := range members {
			if slices.Contains(regions, m.Region) {
				within = append(within, m)
			}
		}
		if len(within) > 0 {
			return within
		}
	}
	return members
}
