package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

const (
	// maxPartBits bounds the parts of a bucket to 128, fewer than scanRows.
	maxPartBits = 7
	// repeatedShare is the share of a part's keys of which the bills are held at
	// one time, if they are there more than once.
	repeatedShare = 1.0 / 32
)

// part is the bills of a bucket whose keys' hashes begin with some bits.
type part struct {
	bits   int
	number uint64
}

func (p part) has(hash uint64) bool { return p.bits == 0 || hash>>(64-p.bits) == p.number }

// count is in how many parts the bucket is cut.
func (p part) count() uint64 { return 1 << p.bits }

// partFullError says that a part has more bills than may be held.
type partFullError struct{ bills int }

func (e *partFullError) Error() string {
	return fmt.Sprintf("the part has too many bills, %d", e.bills)
}

// settling adds up a part of a bucket, row by row. It holds a few bytes for each
// key, no bills: all are added as they come. The rows where a key stands that is
// there more than once are read again, its bills taken off, and those that count
// added.
type settling struct {
	part part
	most int // keys
	sum  *totals

	rows  []source
	keys  keyIndex
	bills int // also those that are more than may be held
}

func newSettling(p part, most int) *settling { return &settling{part: p, most: most, sum: newTotals()} }

func hashOf(b *bill.Bill) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(b.Org) // a hash takes all
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(b.Key)
	return h.Sum64()
}

// take adds the bills of a row.
func (s *settling) take(from source, bills []bill.Bill) error {
	row := uint32(len(s.rows))
	s.rows = append(s.rows, from)
	for i := range bills {
		hash := hashOf(&bills[i])
		if !s.part.has(hash) {
			continue
		}
		if s.bills++; s.bills <= s.most {
			s.sum.add(bills[i : i+1])
			s.keys.add(hash, row)
		}
	}
	if len(s.rows) >= maxRows {
		return eris.New("the bucket has too many rows")
	}
	return nil
}

// reread hands the bills of some rows over once more.
type reread func(rows map[source]struct{}, take func([]bill.Bill)) error

// correct puts right what keys with several bills add up to, some of them at a
// time: after an outage it may be all.
func (s *settling) correct(read reread) error {
	if s.bills > s.most {
		return &partFullError{s.bills}
	}
	again := &repeats{of: s, keys: map[repeatedKey]struct{}{}, rows: map[source]struct{}{}}
	for cell := range s.keys.cells {
		s.keys.repeated(cell, again.add)
		if float64(len(again.keys)) > float64(s.most)*repeatedShare {
			if err := again.settle(read); err != nil {
				return err
			}
		}
	}
	return again.settle(read)
}

// repeats are some keys with several bills, and the rows that these are in.
type repeats struct {
	of   *settling
	keys map[repeatedKey]struct{}
	rows map[source]struct{}
}

func (r *repeats) add(key repeatedKey, row uint32) {
	r.keys[key] = struct{}{}
	r.rows[r.of.rows[row]] = struct{}{}
}

func (r *repeats) settle(read reread) error {
	var all []bill.Bill
	err := read(r.rows, func(bills []bill.Bill) {
		for i := range bills {
			hash := hashOf(&bills[i])
			if _, ok := r.keys[repeatedKeyOf(hash)]; ok && r.of.part.has(hash) {
				all = append(all, bills[i])
			}
		}
	})
	r.of.sum.takeOff(all)
	r.of.sum.add(bill.Merge(all, 0)) // keys of timed buckets need no window
	clear(r.keys)
	clear(r.rows)
	return err
}

// maxSettleTries bounds the tries at a part whose rows are moved meanwhile.
const maxSettleTries = 3

// settlePart adds up one part of a bucket of timed keys.
func (l *Ledger) settlePart(ctx context.Context, b key.Bucket, p part, most int) (sum []Total, err error) {
	for range maxSettleTries {
		sum, err = l.addPart(ctx, b, p, most)
		if !eris.Is(err, errRowMoved) {
			break
		}
	}
	return sum, err
}

func (l *Ledger) addPart(ctx context.Context, b key.Bucket, p part, most int) ([]Total, error) {
	s := newSettling(p, most)
	if err := l.reader.each(ctx, b, s.take); err != nil {
		return nil, err
	}
	err := s.correct(func(rows map[source]struct{}, take func([]bill.Bill)) error { return l.reader.rows(ctx, b, rows, take) })
	return s.sum.list(), err
}

// settleFirst adds up the first part of a bucket, cut as finely as its number of
// bills asks for. All who read the same bills cut alike.
func (l *Ledger) settleFirst(ctx context.Context, b key.Bucket) (part, []Total, error) {
	var p part
	sum, err := l.settlePart(ctx, b, p, l.settings.MaxSettleKeys)
	var full *partFullError
	if !errors.As(err, &full) {
		return p, sum, err
	}
	p.bits = min(maxPartBits, bits.Len(uint((full.bills-1)/l.settings.MaxSettleKeys)))
	sum, err = l.settleNext(ctx, b, p)
	return p, sum, err
}

// settleWhole adds up a bucket, part by part.
func (l *Ledger) settleWhole(ctx context.Context, b key.Bucket) ([]Total, error) {
	if b.Kind == key.Opaque {
		return l.settleOpaque(ctx, b)
	}
	p, sum, err := l.settleFirst(ctx, b)
	for p.number++; err == nil && p.number < p.count(); p.number++ {
		var more []Total
		more, err = l.settleNext(ctx, b, p)
		sum = addTotals(sum, more)
	}
	return sum, err
}

// settleNext adds up one of several parts, of which some are somewhat larger.
func (l *Ledger) settleNext(ctx context.Context, b key.Bucket, p part) ([]Total, error) {
	return l.settlePart(ctx, b, p, 2*l.settings.MaxSettleKeys)
}

func addTotals(all ...[]Total) []Total {
	sum := newTotals()
	for _, t := range slices.Concat(all...) {
		sum.plus(t)
	}
	return sum.list()
}
