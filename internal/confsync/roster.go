package confsync

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// roster orders the entry nodes, which determines the readers of each failure domain and the
// tree of pulls. The order is a rendezvous hash, so that nodes with equal lists agree without
// messages. Nodes with different lists only cause extra reads or pulls.
type roster struct {
	self platform.VM
	// members are all entry VMs except this one, sorted by ID.
	members []platform.VM
	// listed is set if this node is in the list.
	listed bool
	// domain are the live VMs of this failure domain, including this one, in rendezvous
	// order.
	domain []platform.VM
	// others are the other failure domains, in this node's own order.
	others []domainOrder
	// electors is the number of entry VMs in the list, including leaving ones, which may
	// still vote and admit work.
	electors int
	down     downMarks
}

// domainOrder are the live VMs of a failure domain in rendezvous order.
type domainOrder struct {
	name string
	vms  []platform.VM
}

func newRoster(self platform.VM) *roster {
	r := &roster{self: self, down: downMarks{}}
	r.setMembers(nil)
	return r
}

// setMembers replaces the known entry VMs.
func (r *roster) setMembers(vms []platform.VM) {
	r.members = r.members[:0:0]
	r.listed = false
	r.electors = 0
	domains := map[string][]platform.VM{r.self.FailureDomain: {r.self}}
	for _, vm := range vms {
		r.electors++
		if vm.ID == r.self.ID {
			r.listed = true
			continue
		}
		r.members = append(r.members, vm)
		if vm.State != platform.Leaving {
			domains[vm.FailureDomain] = append(domains[vm.FailureDomain], vm)
		}
	}
	slices.SortFunc(r.members, func(a, b platform.VM) int { return cmp.Compare(a.ID, b.ID) })
	r.order(domains)
	r.down.keepOnly(r.members)
}

func (r *roster) order(domains map[string][]platform.VM) {
	r.others = r.others[:0:0]
	for name, vms := range domains {
		sortByScore(vms, name, func(vm platform.VM) string { return vm.ID })
		if name == r.self.FailureDomain {
			r.domain = vms
			continue
		}
		r.others = append(r.others, domainOrder{name: name, vms: vms})
	}
	sortByScore(r.others, r.self.ID, func(d domainOrder) string { return d.name })
}

// sortByScore sorts by the rendezvous hash of a name and each element's key.
func sortByScore[T any](list []T, name string, key func(T) string) {
	slices.SortFunc(list, func(a, b T) int {
		return cmp.Or(cmp.Compare(score(name, key(a)), score(name, key(b))), cmp.Compare(key(a), key(b)))
	})
}

func score(name, key string) uint64 {
	return xxhash.Sum64String(name + "\x00" + key)
}

// rank returns this node's position, from 0, among the VMs of its failure domain that are not
// marked down.
func (r *roster) rank(now time.Duration) int {
	rank := 0
	for _, vm := range r.domain {
		if vm.ID == r.self.ID {
			return rank
		}
		if !r.down.has(vm.ID, now) {
			rank++
		}
	}
	return rank
}

// memberAt returns the VM at a rank of this failure domain.
func (r *roster) memberAt(rank int, now time.Duration) (platform.VM, bool) {
	return nth(r.domain, rank, func(vm platform.VM) bool {
		return vm.ID == r.self.ID || !r.down.has(vm.ID, now)
	})
}

// nth returns the VM at position n, from 0, among those that match.
func nth(vms []platform.VM, n int, match func(platform.VM) bool) (platform.VM, bool) {
	for _, vm := range vms {
		if !match(vm) {
			continue
		}
		if n == 0 {
			return vm, true
		}
		n--
	}
	return platform.VM{}, false
}

func (r *roster) find(id string) (platform.VM, bool) {
	i, ok := slices.BinarySearchFunc(r.members, id, func(vm platform.VM, id string) int { return cmp.Compare(vm.ID, id) })
	if !ok {
		return platform.VM{}, false
	}
	return r.members[i], true
}

// isElector reports whether a node is listed and so counts in majorities.
func (r *roster) isElector(id string) bool {
	if id == r.self.ID {
		return r.listed
	}
	_, ok := r.find(id)
	return ok
}

// electorIDs returns the IDs of all listed entry VMs.
func (r *roster) electorIDs() []string {
	ids := make([]string, 0, len(r.members)+1)
	if r.listed {
		ids = append(ids, r.self.ID)
	}
	for _, vm := range r.members {
		ids = append(ids, vm.ID)
	}
	return ids
}
