package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

const (
	maxLater  = 10_000
	laterGap  = time.Second
	laterTry  = 5 * time.Second
	laterPara = 8
)

// later is the duty that brings settlements and releases into their logs that
// could not be written in time, while the table is down. If the node is lost
// meanwhile, the key stays unknown: it is never run again, and its caller has
// had its answer.
type later struct {
	try func(ctx context.Context, name key.Log, e *claim.Entry) bool

	mu    sync.Mutex
	queue []laterEntry
}

type laterEntry struct {
	name  key.Log
	entry *claim.Entry
}

// add takes an entry; beyond the bound the oldest is given up.
func (q *later) add(name key.Log, e *claim.Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue) >= maxLater {
		q.queue = q.queue[1:]
	}
	q.queue = append(q.queue, laterEntry{name, e})
}

// Len is how many entries wait.
func (q *later) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.queue)
}

func (q *later) take(n int) []laterEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	n = min(n, len(q.queue))
	taken := append([]laterEntry(nil), q.queue[:n]...)
	q.queue = q.queue[n:]
	return taken
}

// run is the duty.
func (q *later) run(ctx context.Context) {
	ticker := time.NewTicker(laterGap)
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

// flush tries what waits, until a try fails.
func (q *later) flush(ctx context.Context) {
	for {
		taken := q.take(laterPara)
		if len(taken) == 0 || !q.tryAll(ctx, taken) {
			return
		}
	}
}

func (q *later) tryAll(ctx context.Context, entries []laterEntry) bool {
	ctx, cancel := context.WithTimeout(ctx, laterTry)
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
