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

// partRow is what one part of a bucket adds up to, until all are there.
type partRow struct {
	Bits   int     `json:"bits"`
	Number uint64  `json:"number"`
	Totals []Total `json:"totals"`
}

// settleStep does the next step of settling a closed bucket: its next part,
// which is the whole bucket where that is small. The parts that are done are in
// the table, so any node goes on where another has ended. A step that two do is
// written once, under the condition of the row's absence.
func (l *Ledger) settleStep(ctx context.Context, b key.Bucket) (done bool, err error) {
	if b.Kind == key.Opaque {
		_, err := l.SettleBucket(ctx, b)
		return true, err
	}
	rows, err := l.store.scan(ctx, b.PartPrefix(), "", scanRows)
	if err != nil {
		return false, eris.Wrap(err, "read parts")
	}
	if len(rows) == 0 {
		return l.settleBegin(ctx, b)
	}
	parts, err := decodeParts(rows)
	if err != nil {
		return false, err
	}
	p := part{bits: parts[0].Bits, number: missing(parts)}
	if p.number < p.count() {
		sum, err := l.settleNext(ctx, b, p)
		if err != nil {
			return false, err
		}
		return false, l.writePart(ctx, b, p, sum)
	}
	return true, l.settleEnd(ctx, b, rows, parts)
}

func (l *Ledger) settleBegin(ctx context.Context, b key.Bucket) (bool, error) {
	p, sum, err := l.settleFirst(ctx, b)
	if err != nil {
		return false, err
	}
	if p.count() == 1 {
		return true, l.writeSummary(ctx, b, 0, Summary{Revision: 1, Totals: sum}, nil)
	}
	return false, l.writePart(ctx, b, p, sum)
}

// settleEnd writes the summary, and deletes the parts with it.
func (l *Ledger) settleEnd(ctx context.Context, b key.Bucket, rows []platform.Row, parts []partRow) error {
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

// missing is the first part that is not there.
func missing(parts []partRow) uint64 {
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
	if f != fate.Applied && f != fate.Conflict { // another node's is as good
		return eris.New("part was not written: " + f.String())
	}
	return nil
}

// settleOpaque adds up a bucket of opaque keys, whose repetitions may stand in
// the bucket before. It is read whole.
func (l *Ledger) settleOpaque(ctx context.Context, b key.Bucket) ([]Total, error) {
	bills, err := l.reader.bills(ctx, b, time.Time{})
	if err != nil {
		return nil, err
	}
	sum := newTotals()
	sum.add(bills)
	return sum.list(), nil
}
