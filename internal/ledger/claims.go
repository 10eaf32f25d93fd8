package ledger

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/ledger/wire"
)

// Claim asks for the right to run. The error is [ErrNotClaimed] or
// [ErrClaimUnknown].
func (l *Ledger) Claim(ctx context.Context, r ClaimRequest) (ClaimResult, error) {
	if !l.enter() {
		return ClaimResult{}, eris.Wrap(ErrNotClaimed, ErrClosed.Error())
	}
	defer l.leave()
	l.stats.claims.Add(1)
	if state, ok := l.checkTime(r.Key); !ok {
		return ClaimResult{State: state}, nil
	}
	name := l.settings.Layout.Claim(r.Org, r.Key)
	e := claim.Entry{
		Kind: claim.KindClaim, ID: key.NewID(r.Org, r.Key), Attempt: key.AttemptID(r.Attempt),
		Print: r.Fingerprint, Node: l.process,
	}
	patient, cancel := context.WithTimeout(ctx, l.settings.ClaimPatience)
	defer cancel()
	out := l.appendEntry(patient, name, &e)
	doubted := out.doubt && out.verdict != claim.VerdictGranted && out.verdict != claim.VerdictRefused
	if doubted {
		// The caller hears that it does not hold the key. A copy of the
		// claim that is still on its way could take the key later, for
		// nobody and for good, if it were not barred.
		l.release(name, e.ID, e.Attempt)
	}
	result, err := l.claimed(ctx, out)
	result.Doubted = doubted
	return result, err
}

// checkTime refuses keys whose logs may be deleted already, and those that
// would have logs before their time.
func (l *Ledger) checkTime(k string) (claim.State, bool) {
	at, ok := key.Time(k)
	if !ok {
		return 0, true
	}
	switch age := time.Since(at); {
	case age > l.settings.Window:
		return claim.KeyTooOld, false
	case age < -l.settings.Skew:
		return claim.KeyInvalid, false
	default:
		return 0, true
	}
}

func (l *Ledger) claimed(ctx context.Context, out outcome) (ClaimResult, error) {
	result := ClaimResult{Record: out.record}
	switch out.verdict {
	case claim.VerdictGranted:
		l.stats.granted.Add(1)
		result.State = claim.Granted
	case claim.VerdictRunning:
		result.State = l.runningOrUnknown(ctx, out.record)
	case claim.VerdictSettled:
		result.State = claim.Settled
		return result, l.billAgain(ctx, out.record.Bill)
	case claim.VerdictReused:
		result.State = claim.KeyReused
	case claim.VerdictTooOld:
		result.State = claim.KeyTooOld
	case claim.VerdictRefused:
		if out.doubt {
			return ClaimResult{}, eris.Wrap(ErrClaimUnknown, "no answer in time")
		}
		return ClaimResult{}, eris.Wrap(ErrNotClaimed, "the table cannot be written")
	default:
		return ClaimResult{}, eris.Wrap(ErrNotClaimed, "the attempt was released")
	}
	return result, nil
}

// billAgain makes sure of the bill before a kept answer is given out: the node
// that settled may have been lost before the bill was safe. It is one bill.
func (l *Ledger) billAgain(ctx context.Context, b *Bill) error {
	if b == nil {
		return nil
	}
	if _, err := l.bill(ctx, *b); err != nil {
		return eris.Wrap(ErrNotClaimed, "the key is settled, and its bill is not safe yet")
	}
	return nil
}

// runningOrUnknown asks the node that claimed whether its process still lives.
func (l *Ledger) runningOrUnknown(ctx context.Context, r claim.Record) claim.State {
	if time.Since(r.At) > l.settings.RunLimit {
		return claim.Unknown
	}
	node, _, _ := strings.Cut(r.Node, processSeparator)
	vm, ok := l.route.find(node)
	switch {
	case r.Node == l.process:
		return claim.Running
	case !ok && time.Since(r.At) > listLag:
		return claim.Unknown
	case !ok:
		return claim.Running
	}
	var reply wire.AliveReply
	if err := l.call(ctx, vm, methodAlive, &wire.AliveArgs{}, &reply); err == nil && reply.Process != r.Node {
		return claim.Unknown
	}
	return claim.Running
}

// listLag is how late the list of VMs may be with a node that is there.
const listLag = time.Minute

// Release gives a key back that was not run. The error is [ErrUnsafe]; the
// ledger goes on trying then.
func (l *Ledger) Release(ctx context.Context, r ReleaseRequest) error {
	if !l.enter() {
		return eris.Wrap(ErrUnsafe, ErrClosed.Error())
	}
	defer l.leave()
	name := l.settings.Layout.Claim(r.Org, r.Key)
	e := claim.Entry{Kind: claim.KindRelease, ID: key.NewID(r.Org, r.Key), Attempt: key.AttemptID(r.Attempt)}
	return l.appendOrLater(ctx, name, &e)
}

// release gives a key back behind the caller.
func (l *Ledger) release(name key.Log, id, attempt key.ID) {
	l.later.add(name, &claim.Entry{Kind: claim.KindRelease, ID: id, Attempt: attempt})
}

// appendOrLater brings an entry into its log, now or, if that takes too long,
// behind the caller.
func (l *Ledger) appendOrLater(ctx context.Context, name key.Log, e *claim.Entry) error {
	out := l.appendEntry(ctx, name, e)
	switch out.verdict {
	case claim.VerdictDone, claim.VerdictTooOld:
		return nil
	case claim.VerdictRejected:
		event.LedgerRejected.Log(l.deps.Log, slog.String("log", name.Prefix()), slog.String("attempt", e.Attempt.Attempt()))
		return eris.Wrap(ErrUnsafe, "the attempt does not hold the key")
	default:
		l.later.add(name, e)
		return eris.Wrap(ErrUnsafe, "the claim's log cannot be written")
	}
}
