package gateway

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// Addresses returns where callers of a host in a region should connect, and for how long
// they may keep the answer.
//
// Where routes of the host bind their requests to regions, a request should not be sent
// through another one: these are then the nodes of the caller's own region, else those of
// the regions that the routes allow.
func (n *Node) Addresses(host, region string) ([]string, time.Duration) {
	n.mu.Lock()
	serving := slices.DeleteFunc(slices.Clone(n.roster.Alive()), func(m gossip.Member) bool {
		return !m.Ready || m.Leaving || m.Front == ""
	})
	n.mu.Unlock()
	var allowed []string
	if table := n.table(); table != nil {
		allowed = table.Regions(host)
	}
	if len(allowed) > 0 {
		serving = withinRegions(serving, region, allowed)
	}
	var all []string
	for _, m := range serving {
		all = append(all, m.Front)
	}
	return all, n.settings.AddressTTL
}

// withinRegions returns the members of a caller's region, those of the allowed regions
// where there are none, and all where there are none of these either.
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
