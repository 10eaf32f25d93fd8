package share

import (
	"github.com/hickorybank/hickorybank/internal/ledger/rank"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// group is the members among whom a node shares what it sees.
type group struct {
	name    string
	members []platform.VM
}

// newGroup returns the group of a node among the entry VMs that it sees. It
// always contains the node itself.
func newGroup(self platform.VM, seen []platform.VM) group {
	members := live(self, seen)
	if len(members) <= largestGroup {
		return group{name: "all", members: members}
	}
	g := group{name: self.FailureDomain}
	for _, vm := range members {
		if vm.FailureDomain == self.FailureDomain {
			g.members = append(g.members, vm)
		}
	}
	return g
}

// live returns the members that may be given a duty.
func live(self platform.VM, seen []platform.VM) []platform.VM {
	members := make([]platform.VM, 0, len(seen)+1)
	members = append(members, self)
	for _, vm := range seen {
		if vm.ID != self.ID && vm.State == platform.Live && vm.Peer != "" {
			members = append(members, vm)
		}
	}
	return members
}

// collector is the member that collects the summaries of a version.
func (g group) collector(version string) platform.VM {
	return first("choice/"+version, g.members)
}

// scanner is the member that reads the holds from the table.
func (g group) scanner() platform.VM { return first("choice-holds", g.members) }

// granter is the node that hands out the grants of a version, over all groups.
// While there is one group it is the collector, who knows the ratings best.
func granter(version string, self platform.VM, seen []platform.VM) platform.VM {
	return first("choice/"+version, live(self, seen))
}

func first(duty string, members []platform.VM) platform.VM { return rank.First(duty, members, 1)[0] }
