package capacity

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger"
	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

func ledgerFleetProbes() []Probe {
	return []Probe{
		{
			Slope: Slope{Name: "ledger.fleet", What: "a second of nodes that each make 59 requests safe, one in twenty claimed first, over loopback", Per: "entry nodes in one process", Unit: Nanoseconds},
			Sizes: []int{2, 8, 32, 84}, QuickSizes: []int{2, 8}, Measure: measureLedgerFleet,
		},
		{
			Slope: Slope{Name: "ledger.bill", What: "a bill that goes alone, its row written to a table in memory", Per: "entry nodes known", Unit: Nanoseconds},
			Sizes: nodeCounts, QuickSizes: []int{8, 128}, Measure: measureBill,
		},
	}
}

func measureLedgerFleet(m Meter, nodes int) (float64, error) {
	f, err := newLedgerFleet(nodes, max(1, nodes/nodesPerFleetDomain))
	if err != nil {
		return 0, err
	}
	time.Sleep(m.Window / 2)
	v := m.PerSecond()
	f.close()
	return v, f.result()
}

// measureBill uses a node that knows many others but is alone in its failure domain, so that it
// collects its own bills.
func measureBill(m Meter, known int) (float64, error) {
	vms := fleet(known, 0, known)
	store := memory.New()
	s := ledger.DefaultSettings()
	s.BillWritesPerSecond = 1e9
	l := ledger.New(s, ledger.Deps{
		Table: store, Objects: store.Objects(), Peers: peer.NewPool(), Self: vms[0], Log: discard(),
		Members: func() []platform.VM { return append([]platform.VM(nil), vms...) },
	})
	if err := l.Start(); err != nil {
		return 0, err
	}
	defer func() { _ = l.Close(context.Background()) }()
	var err error
	i := 0
	v := m.CPU(func(n int) {
		for range n {
			i++
			if _, failed := l.Bill(context.Background(), bills(i, 1)[0]); failed != nil {
				err = failed
			}
		}
	})
	return v, err
}
