package capacity

import (
	"runtime"
	"time"

	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/platform"
)

func membershipProbes() []Probe {
	return []Probe{
		{
			Slope: Slope{Name: "membership.list", What: "a new list taken: SetList", Per: "VMs", Unit: Nanoseconds},
			Sizes: fleetSizes, QuickSizes: []int{24, 2500}, Measure: measureMembershipList,
		},
		{
			Slope: Slope{Name: "membership.heap", What: "the heap of a tracker, list included", Per: "VMs", Unit: Bytes},
			Sizes: fleetSizes, QuickSizes: []int{24, 2500}, Measure: measureMembershipHeap,
		},
		{
			Slope: Slope{Name: "membership.addresses", What: "an answer to a caller: Addresses", Per: "entry nodes", Unit: Nanoseconds},
			Sizes: nodeCounts, QuickSizes: []int{8, 128}, Measure: measureAddresses,
		},
	}
}

// mixedFleet returns entry nodes and runners in the proportion of [TargetSize].
func mixedFleet(vms int) []platform.VM {
	entries := max(1, vms*4/29)
	return fleet(entries, vms-entries, domainsOf(vms))
}

func newTracker(vms []platform.VM) *membership.Tracker {
	t := membership.New(membership.Settings{}, membership.Deps{Self: vms[0], Log: discard()})
	t.SetList(vms, start)
	return t
}

func measureMembershipList(m Meter, size int) (float64, error) {
	vms := mixedFleet(size)
	t := newTracker(vms)
	at := start
	return m.CPU(func(n int) {
		for range n {
			at = at.Add(time.Second)
			t.SetList(vms, at)
		}
	}), nil
}

func measureMembershipHeap(m Meter, size int) (float64, error) {
	v := m.Heap(func() any { return newTracker(mixedFleet(size)) })
	return v, nil
}

func measureAddresses(m Meter, nodes int) (float64, error) {
	vms := fleet(nodes, 0, domainsOf(nodes))
	t := newTracker(vms)
	callers := nodeNames(1000)
	i := 0
	v := m.CPU(func(n int) {
		for range n {
			i++
			t.Addresses(callers[i%len(callers)], start)
		}
	})
	runtime.KeepAlive(vms)
	return v, nil
}
