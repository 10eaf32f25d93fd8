package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

const (
	// maxReading is how many buckets that were read in part are remembered.
	maxReading = 4
	// readingAge is for how long they are, after the last read.
	readingAge = 2 * time.Minute
)

// readObjects remembers what was read of buckets that take longer than a page,
// so that the next page goes on where this one ended. Objects of bills never
// change.
type readObjects struct {
	mu      sync.Mutex
	buckets map[key.Bucket]*bucketObjects
}

func newReadObjects() *readObjects { return &readObjects{buckets: map[key.Bucket]*bucketObjects{}} }

// bucketObjects is what was read of a bucket. Its turn is kept while it is read
// on: two that list the same bucket read it once. That takes long, so who waits for
// the turn can be called off, which a mutex cannot.
type bucketObjects struct {
	turn    chan struct{}
	used    time.Time // guarded by the lock of readObjects
	bills   map[string][]bill.Bill
	folds   map[string]bool
	covered map[string]bool
}

// of returns what was read of a bucket, when it is the caller's turn.
func (r *readObjects) of(ctx context.Context, b key.Bucket) (*bucketObjects, error) {
	one := r.find(b, time.Now())
	select {
	case one.turn <- struct{}{}:
		return one, nil
	case <-ctx.Done():
		return nil, &readError{ctx.Err()}
	}
}

// release ends the caller's turn.
func (o *bucketObjects) release() { <-o.turn }

func (r *readObjects) find(b key.Bucket, now time.Time) *bucketObjects {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, one := range r.buckets {
		if now.Sub(one.used) > readingAge {
			delete(r.buckets, other)
		}
	}
	one := r.buckets[b]
	if one == nil {
		r.makeRoom()
		one = &bucketObjects{turn: make(chan struct{}, 1), bills: map[string][]bill.Bill{}, folds: map[string]bool{}, covered: map[string]bool{}}
		r.buckets[b] = one
	}
	one.used = now
	return one
}

func (r *readObjects) makeRoom() {
	if len(r.buckets) < maxReading {
		return
	}
	var oldest key.Bucket
	for b, one := range r.buckets {
		if first := r.buckets[oldest]; first == nil || one.used.Before(first.used) {
			oldest = b
		}
	}
	delete(r.buckets, oldest)
}

// done forgets a bucket that was read whole: more may come into it.
func (r *readObjects) done(b key.Bucket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.buckets, b)
}

// take adds a fold.
func (o *bucketObjects) take(k string, value []byte) error {
	f, err := bill.DecodeFold(value)
	if err != nil {
		return eris.Wrap(err, "fold "+k)
	}
	bills, err := f.Bills.Unpack()
	if err != nil {
		return eris.Wrap(err, "fold "+k)
	}
	o.folds[k] = true
	o.bills[k] = bills
	for _, covered := range f.Covers {
		o.covered[covered] = true
	}
	return nil
}

// without returns the keys that no fold covers.
func (o *bucketObjects) without(keys []string) []string {
	var left []string
	for _, k := range keys {
		if !o.covered[k] {
			left = append(left, k)
		}
	}
	return left
}

func (o *bucketObjects) all() []bill.Bill {
	var all []bill.Bill
	for _, bills := range o.bills {
		all = append(all, bills...)
	}
	return all
}
