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

// outcome is the combined result of sending an entry to one or more batchers.
type outcome struct {
	verdict claim.Verdict
	record  claim.Record
	// inDoubt means that a batcher may have written the entry, or may do so later.
	inDoubt bool
}

// appendEntry appends an entry to a log through the log's batcher, the next candidate,
// or this node itself.
func (l *Ledger) appendEntry(ctx context.Context, name key.Log, e *claim.Entry) outcome {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(maxAppend)
	}
	h := hedge[wire.AppendReply]{
		after: l.settings.HedgeAfter, router: l.router, calls: &l.calls, alive: l.alive, isFinal: isFinalReply,
		call: func(vm platform.VM) (wire.AppendReply, error) { return l.callAppend(vm, name, e, deadline) },
	}
	answers, open := h.run(ctx, l.router.batchers(time.Now(), name))
	return combineAnswers(answers, open)
}

const (
	// maxAppend is how long an entry is tried if its context has no deadline.
	maxAppend = 10 * time.Second
	// replyMargin is how much earlier than its caller a batcher gives up. Then its reply
	// that the entry was not written still arrives, and the entry is not in doubt.
	replyMargin = 200 * time.Millisecond
	// callGrace is how long after a batcher's time limit its call times out. Then the
	// connection counts as stuck.
	callGrace = 500 * time.Millisecond
)

func (l *Ledger) callAppend(vm platform.VM, name key.Log, e *claim.Entry, deadline time.Time) (wire.AppendReply, error) {
	wait := max(0, time.Until(deadline)-replyMargin)
	if vm.ID == l.deps.Self.ID {
		return l.appendLocal(name, e, wait), nil
	}
	// The call does not end with the caller's context: cancelling it would close the
	// connection, with other calls on it.
	ctx, cancel := context.WithTimeout(l.baseCtx, wait+callGrace)
	defer cancel()
	var reply wire.AppendReply
	args := appendArgs(name, e, wait)
	if err := l.deps.Peers.Call(ctx, vm.Peer, methodAppend, &args, &reply); err != nil {
		return wire.AppendReply{}, err // the connection may still decode the reply
	}
	return reply, nil
}

// appendLocal appends an entry to a log through this node's batcher.
func (l *Ledger) appendLocal(name key.Log, e *claim.Entry, wait time.Duration) wire.AppendReply {
	reply := l.batcher.append(name, *e, wait)
	out := appendReply(reply)
	if reply.Verdict == claim.VerdictSettled {
		settled, ok := l.batcher.readSettlement(l.baseCtx, name, reply.Row, e.ID)
		if !ok {
			return wire.AppendReply{Verdict: uint8(claim.VerdictRefused)}
		}
		out.Outcome, out.Answer, out.Bill = settled.Outcome, settled.Answer, packBill(settled.Bill)
	}
	return out
}

func isFinalReply(r wire.AppendReply) bool {
	v := claim.Verdict(r.Verdict)
	return v != claim.VerdictRefused && v != claim.VerdictInDoubt
}

func combineAnswers(answers []answer[wire.AppendReply], open int) outcome {
	out := outcome{verdict: claim.VerdictRefused, inDoubt: open > 0}
	for _, a := range answers {
		switch {
		case a.err != nil:
			out.inDoubt = out.inDoubt || !notSent(a.err)
		case isFinalReply(a.value):
			out.verdict = claim.Verdict(a.value.Verdict)
			out.record = recordOf(&a.value)
		case claim.Verdict(a.value.Verdict) == claim.VerdictInDoubt:
			out.inDoubt = true
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

func decodeEntry(a *wire.AppendArgs) (claim.Entry, bool) {
	e := claim.Entry{Kind: claim.Kind(a.Kind), Node: a.Node, Outcome: a.Outcome, Answer: a.Answer, Bill: unpackBill(a.Bill)}
	if e.Kind < claim.KindClaim || e.Kind > claim.KindRelease {
		return e, false
	}
	ok := copy(e.ID[:], a.ID) == len(e.ID) && copy(e.Attempt[:], a.Attempt) == len(e.Attempt) && copy(e.Print[:], a.Print) == len(e.Print)
	return e, ok
}

// appendReply encodes a reply. It leaves out the record where the caller knows it.
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
