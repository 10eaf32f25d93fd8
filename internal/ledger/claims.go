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

// Claim requests the right to run the work of a key. The error is [ErrNotClaimed] or
// [ErrClaimUnknown].
func (l *Ledger) Claim(ctx context.Context, r ClaimRequest) (ClaimResult, error) {
	if !l.beginCall() {
		return ClaimResult{}, eris.Wrap(ErrNotClaimed, ErrClosed.Error())
	}
	defer l.endCall()
	l.stats.claims.Add(1)
	if state, ok := l.checkKeyTime(r.Key); !ok {
		return ClaimResult{State: state}, nil
	}
	name := l.settings.Layout.Claim(r.Org, r.Key)
	e := claim.Entry{
		Kind: claim.KindClaim, ID: key.NewID(r.Org, r.Key), Attempt: key.AttemptID(r.Attempt),
		Print: r.Fingerprint, Node: l.process,
	}
	claimCtx, cancel := context.WithTimeout(ctx, l.settings.ClaimPatience)
	defer cancel()
	out := l.appendEntry(claimCtx, name, &e)
	inDoubt := out.inDoubt && out.verdict != claim.VerdictGranted && out.verdict != claim.VerdictRefused
	if inDoubt {
		// The caller is told that it does not hold the key. Without a release, a copy of
		// the claim still in flight could take the key later and block it for good.
		l.releaseLater(name, e.ID, e.Attempt)
	}
	result, err := l.claimResult(ctx, out)
	result.CopyInFlight = inDoubt
	return result, err
}

// checkKeyTime rejects keys whose log may already be deleted, and keys with a time in
// the future. If it does, ok is false and the state is the reason.
func (l *Ledger) checkKeyTime(k string) (claim.State, bool) {
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

func (l *Ledger) claimResult(ctx context.Context, out outcome) (ClaimResult, error) {
	result := ClaimResult{Record: out.record}
	switch out.verdict {
	case claim.VerdictGranted:
		l.stats.granted.Add(1)
		result.State = claim.Granted
	case claim.VerdictRunning:
		result.State = l.runningOrUnknown(ctx, out.record)
	case claim.VerdictSettled:
		result.State = claim.Settled
		return result, l.ensureBilled(ctx, out.record.Bill)
	case claim.VerdictReused:
		result.State = claim.KeyReused
	case claim.VerdictTooOld:
		result.State = claim.KeyTooOld
	case claim.VerdictRefused:
		if out.inDoubt {
			return ClaimResult{}, eris.Wrap(ErrClaimUnknown, "no answer in time")
		}
		return ClaimResult{}, eris.Wrap(ErrNotClaimed, "the table cannot be written")
	default:
		return ClaimResult{}, eris.Wrap(ErrNotClaimed, "the attempt was released")
	}
	return result, nil
}

// ensureBilled stores the bill of a settlement again before the kept answer is returned.
// The node that settled may have been lost before the bill was safe. A bill that is
// stored twice counts once.
func (l *Ledger) ensureBilled(ctx context.Context, b *Bill) error {
	if b == nil {
		return nil
	}
	if _, err := l.bill(ctx, *b); err != nil {
		return eris.Wrap(ErrNotClaimed, "the key is settled, and its bill is not safe yet")
	}
	return nil
}

// runningOrUnknown returns Running unless the claim is too old or the process that
// claimed is known to have ended.
func (l *Ledger) runningOrUnknown(ctx context.Context, r claim.Record) claim.State {
	if time.Since(r.At) > l.settings.RunLimit {
		return claim.Unknown
	}
	node, _, _ := strings.Cut(r.Node, processSeparator)
	vm, ok := l.router.find(node)
	switch {
	case r.Node == l.process:
		return claim.Running
	case !ok && time.Since(r.At) > maxListLag:
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

// maxListLag is how long a live node may be missing from the list of VMs.
const maxListLag = time.Minute

// Release gives up a key whose work was not run. The error is [ErrUnsafe]; unless the
// attempt does not hold the key, the ledger keeps trying in the background.
func (l *Ledger) Release(ctx context.Context, r ReleaseRequest) error {
	if !l.beginCall() {
		return eris.Wrap(ErrUnsafe, ErrClosed.Error())
	}
	defer l.endCall()
	name := l.settings.Layout.Claim(r.Org, r.Key)
	e := claim.Entry{Kind: claim.KindRelease, ID: key.NewID(r.Org, r.Key), Attempt: key.AttemptID(r.Attempt)}
	return l.appendOrQueue(ctx, name, &e)
}

// releaseLater releases an attempt in the background.
func (l *Ledger) releaseLater(name key.Log, id, attempt key.ID) {
	l.retries.add(name, &claim.Entry{Kind: claim.KindRelease, ID: id, Attempt: attempt})
}

// appendOrQueue appends an entry to its log. If that fails, it queues the entry for
// retries in the background and returns an error.
func (l *Ledger) appendOrQueue(ctx context.Context, name key.Log, e *claim.Entry) error {
	out := l.appendEntry(ctx, name, e)
	switch out.verdict {
	case claim.VerdictDone, claim.VerdictTooOld:
		return nil
	case claim.VerdictRejected:
		event.LedgerRejected.Log(l.deps.Log, slog.String("log", name.Prefix()), slog.String("attempt", e.Attempt.Attempt()))
		return eris.Wrap(ErrUnsafe, "the attempt does not hold the key")
	default:
		l.retries.add(name, e)
		return eris.Wrap(ErrUnsafe, "the claim's log cannot be written")
	}
}
