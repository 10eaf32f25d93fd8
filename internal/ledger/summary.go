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
	row, err := l.store.get(ctx, b.Summary()) // before the bills: so an older reading loses the race
	if err != nil {
		return Summary{}, eris.Wrap(err, "read summary")
	}
	sum, err := l.settleWhole(ctx, b)
	if err != nil {
		return Summary{}, err
	}
	next := Summary{Revision: 1, Totals: sum}
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
	return next, l.writeSummary(ctx, b, row.Version, next, nil)
}

// closes is when no bill can come into the bucket any more, but for one that
// was held for longer than the window.
func (l *Ledger) closes(b key.Bucket) time.Time { return l.settings.closes(b) }

func (s Settings) closes(b key.Bucket) time.Time {
	_, to := s.Layout.Span(b)
	return to.Add(s.Window + s.RunLimit + s.Skew)
}

// writeSummary writes a summary over the version that it follows. Parts that it
// is made of must be there still, and go with it.
func (l *Ledger) writeSummary(ctx context.Context, b key.Bucket, version uint64, s Summary, parts []platform.Row) error {
	value, err := json.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode summary")
	}
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: b.Summary(), Version: version}},
		Writes:     []platform.Write{{Key: b.Summary(), Value: value}},
	}
	for _, row := range parts {
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
	}
	f, _ := l.store.commit(ctx, txn)
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
