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

// Summary holds the totals of a closed bucket of bills.
type Summary struct {
	// Revision starts at 1 and increases each time the bucket is summarised again
	// because of late bills.
	Revision uint64  `json:"revision"`
	Totals   []Total `json:"totals"`
}

// ErrOpenBucket means that bills may still be added to the bucket.
var ErrOpenBucket = eris.New("bucket is not closed yet")

// SummariseBucket writes the totals of a closed bucket to one row and returns them.
// Several nodes may do it at a time: the write is conditional on the row's version, and
// nodes that read the same bills compute the same totals. If late bills have changed the
// totals, the summary gets the next revision. The error is [ErrOpenBucket] if the bucket
// is not closed.
func (l *Ledger) SummariseBucket(ctx context.Context, b key.Bucket) (Summary, error) {
	if time.Now().Before(l.closesAt(b)) {
		return Summary{}, ErrOpenBucket
	}
	row, err := l.store.get(ctx, b.Summary()) // before the bills, so that a write from older bills fails
	if err != nil {
		return Summary{}, eris.Wrap(err, "read summary")
	}
	sum, err := l.summariseAll(ctx, b)
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

// closesAt returns the time after which no bill can be added to the bucket, except one
// that was held for longer than the retention window.
func (l *Ledger) closesAt(b key.Bucket) time.Time { return l.settings.closesAt(b) }

func (s Settings) closesAt(b key.Bucket) time.Time {
	_, to := s.Layout.Span(b)
	return to.Add(s.Window + s.RunLimit + s.Skew)
}

// writeSummary writes a summary on condition of the version of its row, and deletes the
// parts from which it was computed, on condition that they are unchanged.
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

// summaries returns the set of keys of existing summaries, from a bucket on.
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
