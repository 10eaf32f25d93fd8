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
	// repeatedShare bounds the repeated keys whose bills are in memory at a time, as a
	// share of the keys of a part.
	repeatedShare = 1.0 / 32
)

// part is the part of a bucket with the keys whose hash begins with the given number, in
// the given number of bits.
type part struct {
	bits   int
	number uint64
}

func (p part) has(hash uint64) bool { return p.bits == 0 || hash>>(64-p.bits) == p.number }

// count returns the number of parts into which the bucket is divided.
func (p part) count() uint64 { return 1 << p.bits }

// partFullError means that a part has more bills than the limit.
type partFullError struct{ bills int }

func (e *partFullError) Error() string {
	return fmt.Sprintf("part of the bucket has too many bills: %d", e.bills)
}

// partSum computes the totals of a part of a bucket, row by row. It keeps a few bytes
// for each key, but no bills: all bills are added first. Then the rows with repeated keys
// are read again. The bills of these keys are subtracted, and those that are not
// duplicates are added.
type partSum struct {
	part  part
	limit int
	sum   *totals

	rows      []source
	keys      keyIndex
	billCount int // including those above the limit
}

func newPartSum(p part, limit int) *partSum { return &partSum{part: p, limit: limit, sum: newTotals()} }

func hashOf(b *bill.Bill) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(b.Org) // a hash accepts all input
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(b.Key)
	return h.Sum64()
}

// addRow adds the bills of a row that belong to the part.
func (s *partSum) addRow(from source, bills []bill.Bill) error {
	row := uint32(len(s.rows))
	s.rows = append(s.rows, from)
	for i := range bills {
		hash := hashOf(&bills[i])
		if !s.part.has(hash) {
			continue
		}
		if s.billCount++; s.billCount <= s.limit {
			s.sum.add(bills[i : i+1])
			s.keys.add(hash, row)
		}
	}
	if len(s.rows) >= maxRows {
		return eris.Errorf("bucket has too many rows: %d, must be below %d", len(s.rows), maxRows)
	}
	return nil
}

// rereadFunc reads some rows again and passes their bills to a function.
type rereadFunc func(rows map[source]struct{}, visit func([]bill.Bill)) error

// removeDuplicates corrects the totals of keys with several bills. It processes a limited
// number of keys at a time, since after an outage all keys may be repeated.
func (s *partSum) removeDuplicates(read rereadFunc) error {
	if s.billCount > s.limit {
		return &partFullError{s.billCount}
	}
	repeated := &repeats{partSum: s, keys: map[repeatedKey]struct{}{}, rows: map[source]struct{}{}}
	for cell := range s.keys.cells {
		s.keys.repeated(cell, repeated.add)
		if float64(len(repeated.keys)) > float64(s.limit)*repeatedShare {
			if err := repeated.resolve(read); err != nil {
				return err
			}
		}
	}
	return repeated.resolve(read)
}

// repeats is a set of keys with several bills, and the rows with these bills.
type repeats struct {
	partSum *partSum
	keys    map[repeatedKey]struct{}
	rows    map[source]struct{}
}

func (r *repeats) add(key repeatedKey, row uint32) {
	r.keys[key] = struct{}{}
	r.rows[r.partSum.rows[row]] = struct{}{}
}

func (r *repeats) resolve(read rereadFunc) error {
	var all []bill.Bill
	err := read(r.rows, func(bills []bill.Bill) {
		for i := range bills {
			hash := hashOf(&bills[i])
			if _, ok := r.keys[repeatedKeyOf(hash)]; ok && r.partSum.part.has(hash) {
				all = append(all, bills[i])
			}
		}
	})
	r.partSum.sum.subtract(all)
	r.partSum.sum.add(bill.Merge(all, 0)) // keys of timed buckets need no window
	clear(r.keys)
	clear(r.rows)
	return err
}

// maxPartTries bounds the tries for a part if rows are moved while it is read.
const maxPartTries = 3

// summarisePart computes the totals of one part of a bucket of timed keys.
func (l *Ledger) summarisePart(ctx context.Context, b key.Bucket, p part, maxBills int) (sum []Total, err error) {
	for range maxPartTries {
		sum, err = l.sumPart(ctx, b, p, maxBills)
		if !eris.Is(err, errRowMoved) {
			break
		}
	}
	return sum, err
}

func (l *Ledger) sumPart(ctx context.Context, b key.Bucket, p part, maxBills int) ([]Total, error) {
	s := newPartSum(p, maxBills)
	if err := l.reader.forEach(ctx, b, s.addRow); err != nil {
		return nil, err
	}
	err := s.removeDuplicates(func(rows map[source]struct{}, add func([]bill.Bill)) error { return l.reader.reread(ctx, b, rows, add) })
	return s.sum.list(), err
}

// summariseFirst computes the totals of the first part of a bucket. The number of parts
// depends only on the number of bills, so all nodes that read the same bills use the same
// parts.
func (l *Ledger) summariseFirst(ctx context.Context, b key.Bucket) (part, []Total, error) {
	var p part
	sum, err := l.summarisePart(ctx, b, p, l.settings.MaxSummaryKeys)
	var full *partFullError
	if !errors.As(err, &full) {
		return p, sum, err
	}
	p.bits = min(maxPartBits, bits.Len(uint((full.bills-1)/l.settings.MaxSummaryKeys)))
	sum, err = l.summariseNext(ctx, b, p)
	return p, sum, err
}

// summariseAll computes the totals of a bucket, part by part.
func (l *Ledger) summariseAll(ctx context.Context, b key.Bucket) ([]Total, error) {
	if b.Kind == key.Opaque {
		return l.summariseOpaque(ctx, b)
	}
	p, sum, err := l.summariseFirst(ctx, b)
	for p.number++; err == nil && p.number < p.count(); p.number++ {
		var more []Total
		more, err = l.summariseNext(ctx, b, p)
		sum = addTotals(sum, more)
	}
	return sum, err
}

// summariseNext computes the totals of one of several parts. Its limit is higher, as parts
// differ in size.
func (l *Ledger) summariseNext(ctx context.Context, b key.Bucket, p part) ([]Total, error) {
	return l.summarisePart(ctx, b, p, 2*l.settings.MaxSummaryKeys)
}

func addTotals(all ...[]Total) []Total {
	sum := newTotals()
	for _, t := range slices.Concat(all...) {
		sum.addTotal(t)
	}
	return sum.list()
}
