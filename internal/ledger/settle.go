package ledger

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// settlePatience is how long a settlement is waited for when its bill is safe,
// but not in the table: that is down, then.
const settlePatience = 200 * time.Millisecond

// Settle ends a claim and makes its bill safe. It returns when the bill is
// safe and the settlement is in its log; while the table is down it returns
// with the bill alone, and brings the settlement into the log later. The error
// is [ErrUnsafe].
func (l *Ledger) Settle(ctx context.Context, s Settlement) (Safety, error) {
	if !l.enter() {
		return bill.Unsafe, eris.Wrap(ErrUnsafe, ErrClosed.Error())
	}
	defer l.leave()
	name := l.settings.Layout.Claim(s.Org, s.Key)
	e := l.settleEntry(s)
	if s.Bill == nil {
		return bill.Unsafe, l.appendOrLater(ctx, name, e)
	}
	appended := make(chan error, 1)
	l.calls.Go(func() { appended <- l.appendOrLater(ctx, name, e) })
	safety, err := l.bill(ctx, *s.Bill)
	if err != nil {
		return bill.Unsafe, err
	}
	l.await(ctx, appended, safety)
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

// await waits for the settlement's place in the log. The bill is safe and the
// work has run, so the caller may have its answer whatever becomes of that.
func (l *Ledger) await(ctx context.Context, appended <-chan error, safety Safety) {
	if safety != bill.InTable {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, settlePatience)
		defer cancel()
	}
	select {
	case <-appended:
	case <-ctx.Done():
	}
}
