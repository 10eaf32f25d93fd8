package ledger

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/ledger/fate"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// Summary is what a closed bucket of bills adds up to.
type Summary struct {
	// Revision counts the times that bills came too late and the bucket was
	// settled anew; the first is 1.
	Revision uint64  `json:"revision"`
	Totals   []Total `json:"totals"`
}

// ErrOpenBucket says that bills may still come into the bucket.
var ErrOpenBucket = eris.New("bucket is not closed yet")

// SettleBucket folds the bills of a closed bucket into one row. Any number of
// nodes may do it at one time: the row is written under the condition of its
// version, and all who read the same bills find the same totals. A bucket with
// bills that came late is settled anew, under the next revision.
func (l *Ledger) SettleBucket(ctx context.Context, b key.Bucket) (Summary, error) {
	if time.Now().Before(l.closes(b)) {
		return Summary{}, ErrOpenBucket
	}
	row, err := l.store.get(ctx, b.Summary())
	if err != nil {
		return Summary{}, eris.Wrap(err, "read summary")
	}
	bills, err := l.reader.bills(ctx, b, time.Time{})
	if err != nil {
		return Summary{}, err
	}
	sum := newTotals()
	sum.add(bills)
	next := Summary{Revision: 1, Totals: sum.list()}
	if row.Version != 0 {
		var present Summary
		if err := json.Unmarshal(row.Value, &present); err != nil {
			return Summary{}, eris.Wrap(err, "decode summary")
		}
		if slices.Equal(present.Totals, next.Totals) {
			return present, nil
		}
		next.Revision = present.Revision + 1
	}
	return next, l.writeSummary(ctx, b, row.Version, next)
}

// closes is when no bill can come into the bucket any more, but for one that
// was held for longer than the window.
func (l *Ledger) closes(b key.Bucket) time.Time {
	_, to := l.settings.Layout.Span(b)
	return to.Add(l.settings.Window + l.settings.RunLimit + l.settings.Skew)
}

func (l *Ledger) writeSummary(ctx context.Context, b key.Bucket, version uint64, s Summary) error {
	value, err := json.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode summary")
	}
	f, _ := l.store.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: b.Summary(), Version: version}},
		Writes:     []platform.Write{{Key: b.Summary(), Value: value}},
	})
	if f != fate.Applied {
		return eris.New("summary was not written: " + f.String())
	}
	event.LedgerSettled.Log(l.deps.Log, slog.String("bucket", b.String()), slog.Uint64("revision", s.Revision))
	return nil
}

// summaries returns the keys of the summaries from a bucket on.
func (s *store) summaries(ctx context.Context, from key.Bucket) (map[string]bool, error) {
	all := map[string]bool{}
	after := from.Previous().Summary()
	for {
		rows, err := s.scan(ctx, from.SummaryPrefix(), after, scanRows)
		if err != nil {
			return nil, eris.Wrap(err, "read summaries")
		}
		for _, row := range rows {
			all[row.Key] = true
			after = row.Key
		}
		if len(rows) < scanRows {
			return all, nil
		}
	}
}
