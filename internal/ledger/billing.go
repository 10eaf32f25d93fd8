package ledger

import (
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/wire"
	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	// maxSends is the maximum number of messages with bills in flight. Meanwhile, further
	// bills are queued for the next message. So there are few messages under load, and a
	// single bill is sent at once.
	maxSends = 2
	// maxSendBills is the maximum number of bills in a message.
	maxSendBills = 500
	// collectTimeout is longer than a collector takes to report a bill as unsafe.
	collectTimeout = giveUp + 2*time.Second
)

// billSender is the background task that sends this node's bills to the collector of its
// failure domain.
type billSender struct {
	ledger *Ledger

	loop  *eventLoop
	calls conc.WaitGroup
	// The fields below are only accessed by the event loop.
	queue    []queuedBill
	inFlight int // messages in flight
}

// queuedBill is a bill to send, and the channel for its result.
type queuedBill struct {
	bill bill.Bill
	done chan<- billResult
}

// billResult is where a bill is stored, and what the nodes that were asked to collect it
// answered.
type billResult struct {
	safety bill.Safety
	asked  string
}

func newBillSender(l *Ledger) *billSender { return &billSender{ledger: l, loop: newEventLoop()} }

// run runs the task until ctx ends and all calls in flight have ended.
func (b *billSender) run(ctx context.Context) {
	b.loop.run(ctx, b.step)
	b.calls.Wait()
}

// send sends a bill to a collector and returns where it is stored.
func (b *billSender) send(ctx context.Context, one bill.Bill) billResult {
	closed := billResult{bill.Unsafe, "no node was asked: the ledger is closed"}
	done := make(chan billResult, 1)
	if !b.loop.post(func(time.Time) { b.queue = append(b.queue, queuedBill{one, done}) }) {
		return closed
	}
	select {
	case r := <-done:
		return r
	case <-ctx.Done():
		return billResult{bill.Unsafe, "no node has answered: " + ctx.Err().Error()}
	case <-b.loop.done:
		return closed
	}
}

func (b *billSender) step(time.Time) time.Time {
	for len(b.queue) > 0 && b.inFlight < maxSends {
		n := min(len(b.queue), maxSendBills)
		batch := append([]queuedBill(nil), b.queue[:n]...)
		b.queue = append(b.queue[:0], b.queue[n:]...)
		b.inFlight++
		b.calls.Go(func() { b.deliver(batch) })
	}
	return time.Time{}
}

// deliver sends bills to the collector, the next candidate, or this node itself. If two
// of them write a bill, they write it under the same key.
func (b *billSender) deliver(batch []queuedBill) {
	bills := make([]bill.Bill, 0, len(batch))
	for _, s := range batch {
		bills = append(bills, s.bill)
	}
	l := b.ledger
	args := wire.CollectArgs{Bills: bill.Pack(bills)}
	h := hedge[[]byte]{
		after: l.settings.HedgeAfter, router: l.router, calls: &b.calls, alive: l.alive, isFinal: allSafe,
		call: func(vm platform.VM) ([]byte, error) { return b.callCollect(vm, &args, bills) },
	}
	answers, _ := h.run(l.baseCtx, l.router.collectors(time.Now(), l.collecting.diverts.Load()))
	for i, q := range batch {
		q.done <- billResult{safest(answers, i), describeAnswers(answers, i)} // never blocks: buffered for the only result
	}
	b.loop.post(func(time.Time) { b.inFlight-- })
}

func (b *billSender) callCollect(vm platform.VM, args *wire.CollectArgs, bills []bill.Bill) ([]byte, error) {
	l := b.ledger
	if vm.ID == l.deps.Self.ID {
		return safetyBytes(l.collecting.collect(bills, fromSelf)), nil
	}
	ctx, cancel := context.WithTimeout(l.baseCtx, collectTimeout)
	defer cancel()
	var reply wire.CollectReply
	if err := l.deps.Peers.Call(ctx, vm.Peer, methodCollect, args, &reply); err != nil {
		return nil, err
	}
	if len(reply.Safety) != len(bills) {
		return nil, eris.Errorf("collector returned %d results for %d bills", len(reply.Safety), len(bills))
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

// safest returns the safest place for a bill in any of the answers.
func safest(answers []answer[[]byte], i int) bill.Safety {
	safest := bill.Unsafe
	for _, a := range answers {
		if a.err == nil {
			safest = max(safest, min(bill.Safety(a.value[i]), bill.InTable))
		}
	}
	return safest
}

// describeAnswers describes what each node answered for a bill, for logs.
func describeAnswers(answers []answer[[]byte], i int) string {
	var all []string
	for _, a := range answers {
		if a.err != nil {
			all = append(all, a.from.ID+": "+a.err.Error())
			continue
		}
		all = append(all, a.from.ID+": "+bill.Safety(a.value[i]).String())
	}
	return strings.Join(all, "; ")
}

func safetyBytes(all []bill.Safety) []byte {
	data := make([]byte, 0, len(all))
	for _, s := range all {
		data = append(data, byte(s))
	}
	return data
}
