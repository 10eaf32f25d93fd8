package ledger

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/ledger/wire"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// outcome is what became of an entry, asked of any number of batchers.
type outcome struct {
	verdict claim.Verdict
	record  claim.Record
	// doubt says that a batcher may bring the entry into the log yet, or has.
	doubt bool
}

// appendEntry brings an entry into the log of its key, through the batcher of
// the log, the next one, or this node itself.
func (l *Ledger) appendEntry(ctx context.Context, name key.Log, e *claim.Entry) outcome {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(maxAppend)
	}
	h := hedge[wire.AppendReply]{
		after: l.settings.HedgeAfter, route: l.route, calls: &l.calls, alive: l.alive, final: finalReply,
		ask: func(vm platform.VM) (wire.AppendReply, error) { return l.askAppend(vm, name, e, deadline) },
	}
	answers, open := h.run(ctx, l.route.batchers(time.Now(), name))
	return sumUp(answers, open)
}

const (
	// maxAppend is how long an entry is tried when its context has no end.
	maxAppend = 10 * time.Second
	// margin is how much earlier a batcher gives up than its asker: so that
	// "not written, for certain" still arrives, and is not taken for doubt.
	margin = 200 * time.Millisecond
	// grace is how much longer a batcher is listened to than it may take,
	// before its connection counts as stuck.
	grace = 500 * time.Millisecond
)

func (l *Ledger) askAppend(vm platform.VM, name key.Log, e *claim.Entry, deadline time.Time) (wire.AppendReply, error) {
	wait := max(0, time.Until(deadline)-margin)
	if vm.ID == l.deps.Self.ID {
		return l.appendHere(name, e, wait), nil
	}
	// The caller's own end does not end the call: that would cut the
	// connection, with the calls of others on it.
	ctx, cancel := context.WithTimeout(l.running, wait+grace)
	defer cancel()
	var reply wire.AppendReply
	args := appendArgs(name, e, wait)
	err := l.deps.Peers.Call(ctx, vm.Peer, methodAppend, &args, &reply)
	return reply, err
}

// appendHere brings an entry into a log from this node.
func (l *Ledger) appendHere(name key.Log, e *claim.Entry, wait time.Duration) wire.AppendReply {
	reply := l.batcher.append(name, *e, wait)
	out := appendReply(reply)
	if reply.Verdict == claim.VerdictSettled {
		settled, ok := l.batcher.settled(l.running, name, reply.Row, e.ID)
		if !ok {
			return wire.AppendReply{Verdict: uint8(claim.VerdictRefused)}
		}
		out.Outcome, out.Answer, out.Bill = settled.Outcome, settled.Answer, packBill(settled.Bill)
	}
	return out
}

func finalReply(r wire.AppendReply) bool {
	v := claim.Verdict(r.Verdict)
	return v != claim.VerdictRefused && v != claim.VerdictInDoubt
}

func sumUp(answers []answer[wire.AppendReply], open int) outcome {
	out := outcome{verdict: claim.VerdictRefused, doubt: open > 0}
	for _, a := range answers {
		switch {
		case a.err != nil:
			out.doubt = out.doubt || !notSent(a.err)
		case finalReply(a.value):
			out.verdict = claim.Verdict(a.value.Verdict)
			out.record = recordOf(&a.value)
		case claim.Verdict(a.value.Verdict) == claim.VerdictInDoubt:
			out.doubt = true
		}
	}
	return out
}

func appendArgs(name key.Log, e *claim.Entry, wait time.Duration) wire.AppendArgs {
	return wire.AppendArgs{
		LogKind: byte(name.Kind), Shard: name.Shard, Bucket: name.Bucket,
		Kind: uint8(e.Kind), ID: e.ID[:], Attempt: e.Attempt[:], Print: e.Print[:], Node: e.Node,
		Outcome: e.Outcome, Answer: e.Answer, Bill: packBill(e.Bill), WaitMillis: wait.Milliseconds(),
	}
}

func entryOf(a *wire.AppendArgs) (claim.Entry, bool) {
	e := claim.Entry{Kind: claim.Kind(a.Kind), Node: a.Node, Outcome: a.Outcome, Answer: a.Answer, Bill: unpackBill(a.Bill)}
	if e.Kind < claim.KindClaim || e.Kind > claim.KindRelease {
		return e, false
	}
	fits := copy(e.ID[:], a.ID) == len(e.ID) && copy(e.Attempt[:], a.Attempt) == len(e.Attempt) && copy(e.Print[:], a.Print) == len(e.Print)
	return e, fits
}

// appendReply leaves out the record where it says what the asker knows.
func appendReply(r claim.Reply) wire.AppendReply {
	if r.Verdict == claim.VerdictGranted || r.Verdict == claim.VerdictDone {
		return wire.AppendReply{Verdict: uint8(r.Verdict)}
	}
	return wire.AppendReply{
		Verdict: uint8(r.Verdict), Print: r.Record.Fingerprint[:], Attempt: r.Record.Attempt, Node: r.Record.Node,
		AtMillis: r.Record.At.UnixMilli(), IsSettled: r.Record.Settled,
	}
}

func recordOf(r *wire.AppendReply) claim.Record {
	record := claim.Record{
		Attempt: r.Attempt, Node: r.Node, At: time.UnixMilli(r.AtMillis).UTC(), Settled: r.IsSettled,
		Outcome: r.Outcome, Answer: r.Answer, Bill: unpackBill(r.Bill),
	}
	copy(record.Fingerprint[:], r.Print)
	return record
}

func packBill(b *bill.Bill) bill.Columns {
	if b == nil {
		return bill.Columns{}
	}
	return bill.Pack([]bill.Bill{*b})
}

func unpackBill(c bill.Columns) *bill.Bill {
	bills, err := c.Unpack()
	if err != nil || len(bills) == 0 {
		return nil
	}
	return &bills[0]
}
