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
	// maxProgress is the maximum number of partly read buckets that are cached.
	maxProgress = 4
	// progressTTL is how long they are cached after the last read.
	progressTTL = 2 * time.Minute
)

// readCache caches the objects already read of buckets that take longer than a page,
// so that the next page continues there. The cache is never stale, as objects with bills
// never change.
type readCache struct {
	mu      sync.Mutex
	buckets map[key.Bucket]*bucketProgress
}

func newReadCache() *readCache { return &readCache{buckets: map[key.Bucket]*bucketProgress{}} }

// bucketProgress is the part of a bucket's objects that was already read. A reader holds
// its lock while it reads on, so two listings of the same bucket read it once. The lock is
// a channel because reading takes long and a context must be able to end the wait for it.
type bucketProgress struct {
	lock      chan struct{}
	lastUsed  time.Time // guarded by readCache.mu
	bills     map[string][]bill.Bill
	compacted map[string]bool
	covered   map[string]bool
}

// acquire returns the progress of a bucket, locked for the caller. The error is
// [ErrReading].
func (r *readCache) acquire(ctx context.Context, b key.Bucket) (*bucketProgress, error) {
	one := r.find(b, time.Now())
	select {
	case one.lock <- struct{}{}:
		return one, nil
	case <-ctx.Done():
		return nil, &readError{ctx.Err()}
	}
}

// release unlocks the progress.
func (o *bucketProgress) release() { <-o.lock }

func (r *readCache) find(b key.Bucket, now time.Time) *bucketProgress {
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, one := range r.buckets {
		if now.Sub(one.lastUsed) > progressTTL {
			delete(r.buckets, other)
		}
	}
	one := r.buckets[b]
	if one == nil {
		r.evictOldest()
		one = &bucketProgress{lock: make(chan struct{}, 1), bills: map[string][]bill.Bill{}, compacted: map[string]bool{}, covered: map[string]bool{}}
		r.buckets[b] = one
	}
	one.lastUsed = now
	return one
}

func (r *readCache) evictOldest() {
	if len(r.buckets) < maxProgress {
		return
	}
	var oldest key.Bucket
	for b, one := range r.buckets {
		if first := r.buckets[oldest]; first == nil || one.lastUsed.Before(first.lastUsed) {
			oldest = b
		}
	}
	delete(r.buckets, oldest)
}

// forget removes a bucket that was read completely: objects may be added to it.
func (r *readCache) forget(b key.Bucket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.buckets, b)
}

// addCompacted adds a compacted object.
func (o *bucketProgress) addCompacted(k string, value []byte) error {
	f, err := bill.DecodeCompactedObject(value)
	if err != nil {
		return eris.Wrap(err, "fold "+k)
	}
	bills, err := f.Bills.Unpack()
	if err != nil {
		return eris.Wrap(err, "fold "+k)
	}
	o.compacted[k] = true
	o.bills[k] = bills
	for _, covered := range f.Covers {
		o.covered[covered] = true
	}
	return nil
}

// uncovered returns the keys that no compacted object covers.
func (o *bucketProgress) uncovered(keys []string) []string {
	var uncovered []string
	for _, k := range keys {
		if !o.covered[k] {
			uncovered = append(uncovered, k)
		}
	}
	return uncovered
}

func (o *bucketProgress) all() []bill.Bill {
	var all []bill.Bill
	for _, bills := range o.bills {
		all = append(all, bills...)
	}
	return all
}
