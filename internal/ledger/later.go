package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

const (
	maxQueued     = 10_000          // entries in the queue
	retryInterval = time.Second     // time between flushes
	retryTimeout  = 5 * time.Second // for a batch of entries
	maxRetries    = 8               // entries in flight
)

// retryQueue retries settlements and releases that could not be written in time because
// the table is down. If the node is lost before they are written, the state of their keys
// stays unknown: the work is never run again, and the callers already have their answers.
type retryQueue struct {
	try func(ctx context.Context, name key.Log, e *claim.Entry) bool

	mu    sync.Mutex
	queue []queuedEntry
}

// queuedEntry is an entry to append to a log.
type queuedEntry struct {
	name  key.Log
	entry *claim.Entry
}

// add appends an entry to the queue. If the queue is full, the oldest entry is dropped.
func (q *retryQueue) add(name key.Log, e *claim.Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue) >= maxQueued {
		q.queue = q.queue[1:]
	}
	q.queue = append(q.queue, queuedEntry{name, e})
}

// Len returns the number of entries in the queue.
func (q *retryQueue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.queue)
}

func (q *retryQueue) dequeue(n int) []queuedEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	n = min(n, len(q.queue))
	taken := append([]queuedEntry(nil), q.queue[:n]...)
	q.queue = q.queue[n:]
	return taken
}

// run flushes the queue periodically until ctx ends.
func (q *retryQueue) run(ctx context.Context) {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.flush(ctx)
		}
	}
}

// flush retries the entries in the queue until one fails.
func (q *retryQueue) flush(ctx context.Context) {
	for {
		taken := q.dequeue(maxRetries)
		if len(taken) == 0 || !q.tryAll(ctx, taken) {
			return
		}
	}
}

func (q *retryQueue) tryAll(ctx context.Context, entries []queuedEntry) bool {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
	defer cancel()
	var wg sync.WaitGroup
	failed := make([]bool, len(entries))
	for i, e := range entries {
		wg.Go(func() { failed[i] = !q.try(ctx, e.name, e.entry) })
	}
	wg.Wait()
	all := true
	for i, e := range entries {
		if failed[i] {
			all = false
			q.add(e.name, e.entry)
		}
	}
	return all
}
