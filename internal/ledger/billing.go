package ledger

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/wire"
	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	// maxSends is how many messages with bills may be out at one time. While
	// they are, bills gather for the next: so messages are few under load, and
	// a bill that comes alone goes at once.
	maxSends = 2
	// maxSend is the most bills in a message.
	maxSend = 500
	// collectTimeout is longer than a collector takes to call a bill unsafe.
	collectTimeout = giveUp + 2*time.Second
)

// billing is the duty that brings this node's bills to the collector of its
// failure domain.
type billing struct {
	ledger *Ledger

	ring  *ring
	calls conc.WaitGroup
	// The fields below belong to the duty.
	open  []sentBill
	sends int
}

type sentBill struct {
	bill bill.Bill
	safe chan<- bill.Safety
}

func newBilling(l *Ledger) *billing { return &billing{ledger: l, ring: newRing()} }

// run is the duty.
func (b *billing) run(ctx context.Context) {
	b.ring.run(ctx, b.step)
	b.calls.Wait()
}

// send makes a bill safe.
func (b *billing) send(ctx context.Context, one bill.Bill) bill.Safety {
	safe := make(chan bill.Safety, 1)
	if !b.ring.post(func(time.Time) { b.open = append(b.open, sentBill{one, safe}) }) {
		return bill.Unsafe
	}
	select {
	case s := <-safe:
		return s
	case <-ctx.Done():
		return bill.Unsafe
	case <-b.ring.done:
		return bill.Unsafe
	}
}

func (b *billing) step(time.Time) time.Time {
	for len(b.open) > 0 && b.sends < maxSends {
		n := min(len(b.open), maxSend)
		batch := append([]sentBill(nil), b.open[:n]...)
		b.open = append(b.open[:0], b.open[n:]...)
		b.sends++
		b.calls.Go(func() { b.deliver(batch) })
	}
	return time.Time{}
}

// deliver asks the collector, the next one, and at last this node itself. Two
// that both write a bill write it under one key.
func (b *billing) deliver(batch []sentBill) {
	bills := make([]bill.Bill, 0, len(batch))
	for _, s := range batch {
		bills = append(bills, s.bill)
	}
	l := b.ledger
	args := wire.CollectArgs{Bills: bill.Pack(bills)}
	h := hedge[[]byte]{
		after: l.settings.HedgeAfter, route: l.route, calls: &b.calls, alive: l.alive, final: allSafe,
		ask: func(vm platform.VM) ([]byte, error) { return b.ask(vm, &args, bills) },
	}
	answers, _ := h.run(l.running, l.route.collectors(time.Now()))
	for i, s := range batch {
		s.safe <- best(answers, i) // has room for the one answer it gets
	}
	b.ring.post(func(time.Time) { b.sends-- })
}

func (b *billing) ask(vm platform.VM, args *wire.CollectArgs, bills []bill.Bill) ([]byte, error) {
	l := b.ledger
	if vm.ID == l.deps.Self.ID {
		return safetyBytes(l.collecting.collect(bills)), nil
	}
	ctx, cancel := context.WithTimeout(l.running, collectTimeout)
	defer cancel()
	var reply wire.CollectReply
	if err := l.deps.Peers.Call(ctx, vm.Peer, methodCollect, args, &reply); err != nil {
		return nil, err
	}
	if len(reply.Safety) != len(bills) {
		return nil, eris.New("collector answered other bills")
	}
	return reply.Safety, nil
}

func allSafe(safety []byte) bool {
	for _, s := range safety {
		if bill.Safety(s) == bill.Unsafe {
			return false
		}
	}
	return true
}

// best is the safest place that any answer names for a bill.
func best(answers []answer[[]byte], i int) bill.Safety {
	safest := bill.Unsafe
	for _, a := range answers {
		if a.err == nil {
			safest = max(safest, min(bill.Safety(a.value[i]), bill.InTable))
		}
	}
	return safest
}

func safetyBytes(all []bill.Safety) []byte {
	data := make([]byte, 0, len(all))
	for _, s := range all {
		data = append(data, byte(s))
	}
	return data
}
