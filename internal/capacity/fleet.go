package capacity

import (
	"fmt"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// fleet returns a VM list spread over failure domains, in the platform's form. IDs and
// addresses have realistic lengths.
func fleet(entries, engines, domains int) []platform.VM {
	vms := make([]platform.VM, 0, entries+engines)
	for i := range entries {
		vms = append(vms, platform.VM{
			ID: fmt.Sprintf("entry-%05d", i), Role: platform.RoleEntry, State: platform.Live,
			Addr: address(i, 8080), Peer: address(i, 8081), FailureDomain: domainName(i % domains),
		})
	}
	for i := range engines {
		vms = append(vms, platform.VM{
			ID: fmt.Sprintf("engine-%05d", i), Role: platform.RoleEngine, State: platform.Live,
			Addr: address(entries+i, 8000), FailureDomain: domainName(i % domains),
		})
	}
	return vms
}

func domainName(i int) string { return fmt.Sprintf("region-%02d-domain-%d", i/4, i%4) }

func address(i, port int) string {
	return fmt.Sprintf("10.%d.%d.%d:%d", i>>16&255, i>>8&255, i&255, port)
}

// domainsOf returns the number of failure domains for a number of VMs, in the proportion of
// [TargetSize], at least one.
func domainsOf(vms int) int { return max(1, min(38, vms/42)) }
