package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
)

// The stores are down, an entry has answered, and its VM is lost; its bill is in
// the memory of two others. Both are replaced as planned and end before they
// have noticed that the owner is silent; then the stores come back. The answer
// was never billed: a stop saw to its own bills only, not to those that it held.
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

// The stores are down. The nodes that hold a living node's bill are replaced as
// planned, one after the other, and none may wait for the stores: others are
// there to hold it. Then the node itself is lost. The bill went with it: each
// replaced holder took its copy along, and nobody else was asked in time.
func TestPlannedStopsHandHeldBillsOver(t *testing.T) {
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

// waitingAt is the node whose collector has the bill.
func waitingAt(c *cluster) string {
	for id, l := range c.ledgers {
		if l.Stats().Waiting > 0 {
			return id
		}
	}
	c.t.Fatal("no node has the bill")
	return ""
}
