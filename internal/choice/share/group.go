package share

import (
	"github.com/hickorybank/hickorybank/internal/ledger/rank"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// group is the set of members among which a node exchanges summaries and holds.
type group struct {
	name    string
	members []platform.VM
}

// newGroup returns the group of a node among the entry VMs in its membership list. It
// always contains the node itself.
func newGroup(self platform.VM, known []platform.VM) group {
	members := candidates(self, known)
	if len(members) <= maxSingleGroup {
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

// candidates returns self and the known members that are live and have a peer address.
func candidates(self platform.VM, known []platform.VM) []platform.VM {
	members := make([]platform.VM, 0, len(known)+1)
	members = append(members, self)
	for _, vm := range known {
		if vm.ID != self.ID && vm.State == platform.Live && vm.Peer != "" {
			members = append(members, vm)
		}
	}
	return members
}

// collector returns the member that collects the summaries of a version.
func (g group) collector(version string) platform.VM {
	return first("choice/"+version, g.members)
}

// scanner returns the member that scans the table for holds.
func (g group) scanner() platform.VM { return first("choice-holds", g.members) }

// granterOf returns the node that grants exposure of a version to all groups. With a
// single group it is the collector, which has the most recent ratings.
func granterOf(version string, self platform.VM, known []platform.VM) platform.VM {
	return first("choice/"+version, candidates(self, known))
}

// first returns the member with the highest rendezvous rank for a task.
func first(task string, members []platform.VM) platform.VM { return rank.First(task, members, 1)[0] }
