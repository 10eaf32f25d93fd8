package ledger

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// viewAge is how long a view of the members is used.
const viewAge = 500 * time.Millisecond

// view is the members that duties may fall on, sorted out. It is immutable.
type view struct {
	at        time.Time
	all       []platform.VM // this node among them
	here      []platform.VM // those of its failure domain, it among them
	elsewhere []platform.VM
	domains   int
}

func newView(now time.Time, self platform.VM, members []platform.VM) *view {
	v := &view{at: now, all: []platform.VM{self}, here: []platform.VM{self}}
	seen := map[string]struct{}{self.FailureDomain: {}}
	for _, vm := range members {
		seen[vm.FailureDomain] = struct{}{}
		if vm.ID == self.ID || vm.Peer == "" || vm.State == platform.Leaving {
			continue
		}
		v.all = append(v.all, vm)
		if vm.FailureDomain == self.FailureDomain {
			v.here = append(v.here, vm)
		} else {
			v.elsewhere = append(v.elsewhere, vm)
		}
	}
	v.domains = len(seen)
	return v
}
