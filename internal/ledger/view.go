package ledger

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// maxViewAge is how long a view of the members is used before it is computed again.
const maxViewAge = 500 * time.Millisecond

// view is the list of members that can take duties, grouped by failure domain. It is
// immutable.
type view struct {
	createdAt    time.Time
	all          []platform.VM // including this node
	sameDomain   []platform.VM // in this node's failure domain, including this node
	otherDomains []platform.VM // in other failure domains
	domainCount  int
}

func newView(now time.Time, self platform.VM, members []platform.VM) *view {
	v := &view{createdAt: now, all: []platform.VM{self}, sameDomain: []platform.VM{self}}
	seen := map[string]struct{}{self.FailureDomain: {}}
	for _, vm := range members {
		seen[vm.FailureDomain] = struct{}{}
		if vm.ID == self.ID || vm.Peer == "" || vm.State == platform.Leaving {
			continue
		}
		v.all = append(v.all, vm)
		if vm.FailureDomain == self.FailureDomain {
			v.sameDomain = append(v.sameDomain, vm)
		} else {
			v.otherDomains = append(v.otherDomains, vm)
		}
	}
	v.domainCount = len(seen)
	return v
}
