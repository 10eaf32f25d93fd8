package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
)

// The stores are down, and the VM that answered a request is lost. Two other VMs hold its
// bill. Both stop as planned before they detect the loss, and then the stores come back. If
// a node that stops only secured its own bills, not those that it holds, the request would
// never be billed.
func TestPlannedStopKeepsBillsHeldForALostNode(t *testing.T) {
	inBubble(t, 3, func(is *is.I, c *cluster) {
		c.storeDown(true)
		b := billOf(newKey(), 7)
		safety, err := billIn(c.ledgers["e0"], 5*time.Second, b)
		is.NoErr(err)
		is.Equal(safety, bill.InPeers)
		c.lose("e0")
		var stops conc.WaitGroup
		for _, id := range []string{"e1", "e2"} {
			stops.Go(func() { is.NoErr(c.ledgers[id].Close(context.Background())) })
		}
		time.Sleep(time.Second)
		c.storeDown(false)
		stops.Wait()
		c.start(c.members[0])
		is.Equal(c.allBills("e0"), []Bill{b})
	})
}

// The stores are down. The nodes that hold a live node's bill are replaced as planned, one
// after the other, without waiting for the stores. Then the node itself is lost. If a
// holder that stops did not hand its copy over to another node, the bill would be lost.
func TestPlannedStopsHandOverHeldBills(t *testing.T) {
	inBubble(t, 8, func(is *is.I, c *cluster) {
		c.storeDown(true)
		b := billOf(newKey(), 7)
		safety, err := billIn(c.ledgers["e0"], 5*time.Second, b)
		is.NoErr(err)
		is.Equal(safety, bill.InPeers)
		owner := waitingAt(c)
		for _, vm := range c.members {
			if vm.ID != owner && c.ledgers[vm.ID].Stats().Held > 0 {
				is.NoErr(c.ledgers[vm.ID].Close(context.Background()))
				c.start(vm)
			}
		}
		c.lose(owner)
		time.Sleep(time.Minute)
		c.storeDown(false)
		time.Sleep(time.Minute)
		c.start(c.members[0])
		is.Equal(c.allBills("e0"), []Bill{b})
	})
}

// waitingAt returns the id of the node whose collector has the bill.
func waitingAt(c *cluster) string {
	for id, l := range c.ledgers {
		if l.Stats().Waiting > 0 {
			return id
		}
	}
	c.t.Fatal("no node has the bill")
	return ""
}
