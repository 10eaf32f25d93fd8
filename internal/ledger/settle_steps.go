package ledger

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/fate"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// partRow is the row with the totals of one part of a bucket. It exists until the summary
// is written.
type partRow struct {
	Bits   int     `json:"bits"`
	Number uint64  `json:"number"`
	Totals []Total `json:"totals"`
}

// summariseStep does the next step of summarising a closed bucket: the next part, which
// is the whole bucket if it is small. Finished parts are in the table, so any node can
// continue. If two nodes do the same step, only one of them writes it, since the row must
// be absent.
func (l *Ledger) summariseStep(ctx context.Context, b key.Bucket) (done bool, err error) {
	if b.Kind == key.Opaque {
		_, err := l.SummariseBucket(ctx, b)
		return true, err
	}
	rows, err := l.store.scan(ctx, b.PartPrefix(), "", scanRows)
	if err != nil {
		return false, eris.Wrap(err, "read parts")
	}
	if len(rows) == 0 {
		return l.beginSummary(ctx, b)
	}
	parts, err := decodeParts(rows)
	if err != nil {
		return false, err
	}
	p := part{bits: parts[0].Bits, number: firstMissing(parts)}
	if p.number < p.count() {
		sum, err := l.summariseNext(ctx, b, p)
		if err != nil {
			return false, err
		}
		return false, l.writePart(ctx, b, p, sum)
	}
	return true, l.finishSummary(ctx, b, rows, parts)
}

func (l *Ledger) beginSummary(ctx context.Context, b key.Bucket) (bool, error) {
	p, sum, err := l.summariseFirst(ctx, b)
	if err != nil {
		return false, err
	}
	if p.count() == 1 {
		return true, l.writeSummary(ctx, b, 0, Summary{Revision: 1, Totals: sum}, nil)
	}
	return false, l.writePart(ctx, b, p, sum)
}

// finishSummary writes the summary and deletes the parts, in one transaction.
func (l *Ledger) finishSummary(ctx context.Context, b key.Bucket, rows []platform.Row, parts []partRow) error {
	var sum []Total
	for _, p := range parts {
		sum = addTotals(sum, p.Totals)
	}
	return l.writeSummary(ctx, b, 0, Summary{Revision: 1, Totals: sum}, rows)
}

func decodeParts(rows []platform.Row) ([]partRow, error) {
	parts := make([]partRow, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &parts[i]); err != nil {
			return nil, eris.Wrap(err, "decode "+row.Key)
		}
	}
	return parts, nil
}

// firstMissing returns the number of the first part that is missing.
func firstMissing(parts []partRow) uint64 {
	n := uint64(0)
	for slices.ContainsFunc(parts, func(p partRow) bool { return p.Number == n }) {
		n++
	}
	return n
}

func (l *Ledger) writePart(ctx context.Context, b key.Bucket, p part, sum []Total) error {
	value, err := json.Marshal(partRow{p.bits, p.number, sum})
	if err != nil {
		return eris.Wrap(err, "encode part")
	}
	name := b.Part(p.number)
	f, _ := l.store.commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: name}, {Key: b.Summary()}},
		Writes:     []platform.Write{{Key: name, Value: value}},
	})
	if f != fate.Applied && f != fate.Conflict { // after a conflict, another node wrote the same
		return eris.New("part was not written: " + f.String())
	}
	return nil
}

// summariseOpaque computes the totals of a bucket of opaque keys. It reads all bills into
// memory, as earlier bills of the same keys may be in the previous bucket.
func (l *Ledger) summariseOpaque(ctx context.Context, b key.Bucket) ([]Total, error) {
	bills, err := l.reader.bills(ctx, b, time.Time{})
	if err != nil {
		return nil, err
	}
	sum := newTotals()
	sum.add(bills)
	return sum.list(), nil
}
