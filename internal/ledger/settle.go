package ledger

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// maxSettleWait is how long Settle waits for the settlement if the bill is safe, but not
// in the table, which means that the table is down.
const maxSettleWait = 200 * time.Millisecond

// Settle records the outcome of a claimed attempt and stores its bill. It returns once
// the bill is safe and the settlement is in its log. While the table is down, it returns
// once the bill is safe, and the settlement is written in the background. The error is
// [ErrUnsafe].
func (l *Ledger) Settle(ctx context.Context, s Settlement) (Safety, error) {
	if !l.beginCall() {
		return bill.Unsafe, eris.Wrap(ErrUnsafe, ErrClosed.Error())
	}
	defer l.endCall()
	name := l.settings.Layout.Claim(s.Org, s.Key)
	e := l.settleEntry(s)
	if s.Bill == nil {
		return bill.Unsafe, l.appendOrQueue(ctx, name, e)
	}
	appended := make(chan error, 1)
	l.calls.Go(func() { appended <- l.appendOrQueue(ctx, name, e) })
	safety, err := l.bill(ctx, *s.Bill)
	if err != nil {
		return bill.Unsafe, err
	}
	l.awaitAppended(ctx, appended, safety)
	return safety, nil
}

func (l *Ledger) settleEntry(s Settlement) *claim.Entry {
	e := &claim.Entry{
		Kind: claim.KindSettle, ID: key.NewID(s.Org, s.Key), Attempt: key.AttemptID(s.Attempt),
		Outcome: s.Outcome, Bill: s.Bill,
	}
	if len(s.Answer) <= l.settings.MaxAnswer {
		e.Answer = s.Answer
	}
	return e
}

// awaitAppended waits until the settlement is in the log, or for maxSettleWait. The
// result does not matter: the bill is safe and the work has run, so the caller may have
// its answer.
func (l *Ledger) awaitAppended(ctx context.Context, appended <-chan error, safety Safety) {
	if safety != bill.InTable {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxSettleWait)
		defer cancel()
	}
	select {
	case <-appended:
	case <-ctx.Done():
	}
}
