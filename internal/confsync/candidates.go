package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// maxFallbacks is the maximum number of other failure domains, and of peers marked down, in
// which a node looks for a peer to pull from.
const maxFallbacks = 3

// candidates returns the peers to pull from, the best first: the parent in the tree, the
// readers of this failure domain, readers of other domains, then peers marked down. If no peer
// is known, it returns the seeds.
func (r *roster) candidates(now time.Duration, s Settings) []platform.VM {
	var list []platform.VM
	if vm, ok := r.treeParent(now, s); ok {
		list = append(list, vm)
	}
	list = r.addReaders(list, r.domain, now, s)
	for i := 0; i < len(r.others) && i < maxFallbacks; i++ {
		list = r.addReaders(list, r.others[i].vms, now, s)
	}
	list = r.addDown(list, now)
	if len(r.members) > 0 {
		return list
	}
	for _, addr := range s.Seeds {
		if addr != r.self.Peer {
			list = append(list, platform.VM{ID: addr, Peer: addr})
		}
	}
	return list
}

// treeParent returns the parent of this node in its failure domain's tree. A parent's rank is
// below those of its children, so that nodes with equal lists form no cycle. If nodes with
// different lists do, their proofs age until each switches to another parent.
func (r *roster) treeParent(now time.Duration, s Settings) (platform.VM, bool) {
	rank := r.rank(now)
	if rank < s.Readers {
		return platform.VM{}, false
	}
	return r.memberAt((rank-s.Readers)/s.FanOut, now)
}

func (r *roster) addReaders(list, domain []platform.VM, now time.Duration, s Settings) []platform.VM {
	added := 0
	for _, vm := range domain {
		if added == s.Readers {
			break
		}
		if vm.ID == r.self.ID || r.down.has(vm.ID, now) {
			continue
		}
		list = appendOnce(list, vm)
		added++
	}
	return list
}

// allReaders returns the readers of all failure domains.
func (r *roster) allReaders(now time.Duration, s Settings) []platform.VM {
	list := r.addReaders(nil, r.domain, now, s)
	for _, d := range r.others {
		list = r.addReaders(list, d.vms, now, s)
	}
	return list
}

// addDown adds a few of the peers marked down, because the mark may be wrong.
func (r *roster) addDown(list []platform.VM, now time.Duration) []platform.VM {
	added := 0
	for _, vm := range r.members {
		if added == maxFallbacks {
			break
		}
		if r.down.has(vm.ID, now) {
			list = appendOnce(list, vm)
			added++
		}
	}
	return list
}

func appendOnce(list []platform.VM, vm platform.VM) []platform.VM {
	for _, other := range list {
		if other.ID == vm.ID {
			return list
		}
	}
	return append(list, vm)
}
