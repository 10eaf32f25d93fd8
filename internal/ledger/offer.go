package ledger

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/wire"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// maxOfferBills is how many bills an offer has, unless its first row has more.
const maxOfferBills = 500

// offer is the state of offering rows at risk to the other collectors of the failure domain.
// A node that is cut off from the platform alone has its bills stored by them.
type offer struct {
	inFlight bool
	failed   bool // the last offer of a row at risk was not taken
	next     time.Time
}

// billSource is where a collector gets bills from.
type billSource int

const (
	// fromSelf are this node's own bills, which no other node may have.
	fromSelf billSource = iota
	// fromPeer are bills of the failure domain's other nodes.
	fromPeer
	// fromOffer are bills at risk at another collector.
	fromOffer
)

// declines reports whether bills are better left to their sender. Accepted by nodes that
// cannot make them safe, they would be copied from one to the other without end.
func (c *collecting) declines(now time.Time, from billSource) bool {
	switch from {
	case fromPeer:
		return c.diverts.Load()
	case fromOffer:
		// Without bills of its own, a node learns from an offer whether its stores are back.
		return c.core.Waiting() > 0 && c.core.StoresFail(now)
	default:
		return false
	}
}

// offerRows offers rows at risk, one offer at a time.
func (c *collecting) offerRows(now time.Time) {
	if !c.core.AtRisk(now) {
		c.offer.failed = false
		return
	}
	if c.offer.inFlight || now.Before(c.offer.next) {
		return
	}
	others := c.router.otherCollectors(now)
	if len(others) == 0 {
		c.offerDone(now, nil, bill.Unsafe)
		return
	}
	limit := maxOfferBills
	if c.offer.failed {
		limit = 1 // a row is enough to learn that others can take it
	}
	rows := c.core.RowsAtRisk(now, limit)
	if len(rows) == 0 {
		c.offerDone(now, nil, bill.Unsafe)
		return
	}
	c.offer.inFlight = true
	c.calls.Go(func() {
		safety := c.offerTo(others, rows)
		c.loop.post(func(now time.Time) { c.offerDone(now, rows, safety) })
	})
}

// offerTo offers rows to all of some collectors at once and returns where the first one that
// takes them all has them, or [bill.Unsafe].
func (c *collecting) offerTo(others []platform.VM, rows []bill.Write) bill.Safety {
	var bills []bill.Bill
	for _, w := range rows {
		some, err := w.Row.Bills.Unpack()
		c.panicOnEncodeError(err)
		bills = append(bills, some...)
	}
	args := wire.CollectArgs{Bills: bill.Pack(bills), Offer: true}
	results := make(chan bill.Safety, len(others))
	for _, vm := range others {
		c.calls.Go(func() { results <- c.offerToOne(vm, &args, len(bills)) })
	}
	for range others {
		if safety := <-results; safety != bill.Unsafe {
			return safety
		}
	}
	return bill.Unsafe
}

// offerToOne offers bills to a collector and returns the least durable of their places.
func (c *collecting) offerToOne(vm platform.VM, args *wire.CollectArgs, bills int) bill.Safety {
	ctx, cancel := context.WithTimeout(c.baseCtx, holdTimeout)
	defer cancel()
	var reply wire.CollectReply
	err := c.holders.peers.Call(ctx, vm.Peer, methodCollect, args, &reply)
	if err == nil && len(reply.Safety) != bills {
		err = eris.Errorf("collector returned %d results for %d bills", len(reply.Safety), bills)
	}
	if err != nil {
		c.router.markSuspect(vm)
		return bill.Unsafe
	}
	least := bill.InTable
	for _, s := range reply.Safety {
		least = min(least, bill.Safety(s))
	}
	return least
}

// offerDone processes the result of an offer.
func (c *collecting) offerDone(now time.Time, rows []bill.Write, safety bill.Safety) {
	c.offer.inFlight = false
	c.offer.failed = safety == bill.Unsafe
	if c.offer.failed {
		c.offer.next = now.Add(probeInterval)
		return
	}
	for _, w := range rows {
		c.core.Taken(w, safety)
	}
	c.setDiverts(true)
}

// setDiverts sets whether this node's bills go to other collectors first.
func (c *collecting) setDiverts(diverts bool) {
	if c.diverts.Swap(diverts) != diverts {
		c.logChange(diverts, event.LedgerDiverts, event.LedgerCollects)
	}
}
