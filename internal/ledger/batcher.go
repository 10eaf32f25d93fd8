package ledger

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// maxIdle is how long an unused log stays in memory.
const maxIdle = 3 * time.Minute

// batcher is the background task that appends entries to claim logs. Any node may batch
// any log. That one node batches a log at a time only saves writes; correctness does not
// depend on it.
type batcher struct {
	settings Settings
	process  string
	store    *store
	log      *slog.Logger

	loop  *eventLoop
	calls conc.WaitGroup
	// The fields below are only accessed by the event loop.
	logs       map[key.Log]*openLog
	floors     map[string]*claim.Floor // by the keys of their rows
	changed    map[*openLog]struct{}
	replies    map[uint64]chan claim.Reply
	lastNumber uint64
	lastSweep  time.Time
	baseCtx    context.Context
}

// openLog is a log in memory, with the time of its next wake-up.
type openLog struct {
	name key.Log
	core *claim.Log
	wake time.Time
}

func newBatcher(s Settings, process string, st *store, log *slog.Logger) *batcher {
	return &batcher{
		settings: s, process: process, store: st, log: log, loop: newEventLoop(),
		logs: map[key.Log]*openLog{}, floors: map[string]*claim.Floor{}, changed: map[*openLog]struct{}{}, replies: map[uint64]chan claim.Reply{},
	}
}

// run runs the task until ctx ends and all calls in flight have ended.
func (b *batcher) run(ctx context.Context) {
	b.baseCtx = ctx
	b.loop.run(ctx, b.step)
	b.calls.Wait()
}

// append appends an entry to a log and waits for the reply, which comes within the wait
// time.
func (b *batcher) append(name key.Log, e claim.Entry, wait time.Duration) claim.Reply {
	reply := make(chan claim.Reply, 1)
	posted := b.loop.post(func(now time.Time) {
		b.lastNumber++
		b.replies[b.lastNumber] = reply
		open := b.open(now, name)
		open.core.Add(now, claim.Op{Number: b.lastNumber, Entry: e, Deadline: now.Add(wait)})
		b.changed[open] = struct{}{}
	})
	if !posted {
		return claim.Reply{Verdict: claim.VerdictRefused}
	}
	select {
	case r := <-reply:
		return r
	case <-b.loop.done:
		return claim.Reply{Verdict: claim.VerdictInDoubt}
	}
}

func (b *batcher) open(now time.Time, name key.Log) *openLog {
	settings := b.settings.claimLog(name, b.process, now)
	open := b.logs[name]
	if open == nil {
		open = &openLog{name: name, core: claim.NewLog(name, settings, b.floors[name.Floor()])}
		b.logs[name] = open
	}
	open.core.SetGap(settings.MinGap, settings.Burst)
	return open
}

// step processes the logs that had an event or are due to wake up.
func (b *batcher) step(now time.Time) time.Time {
	var wake time.Time
	for _, open := range b.logs {
		if _, ok := b.changed[open]; ok || (!open.wake.IsZero() && !now.Before(open.wake)) {
			b.ready(now, open)
		}
		if !open.wake.IsZero() && (wake.IsZero() || open.wake.Before(wake)) {
			wake = open.wake
		}
	}
	clear(b.changed)
	b.sweep(now)
	return wake
}

func (b *batcher) ready(now time.Time, open *openLog) {
	r := open.core.Ready(now)
	open.wake = r.Wake
	for _, reply := range r.Replies {
		b.replies[reply.Number] <- reply // the channel has room for the one reply
		delete(b.replies, reply.Number)
	}
	if r.Read != nil {
		b.calls.Go(func() { b.read(open, *r.Read) })
	}
	if r.Create != nil {
		b.calls.Go(func() { b.create(open, *r.Create) })
	}
}

func (b *batcher) read(open *openLog, read claim.Read) {
	var floor *claim.Floor
	var floorErr error
	var floorRead conc.WaitGroup
	if read.Floor {
		floorRead.Go(func() { floor, floorErr = b.store.floor(b.baseCtx, open.name) })
	}
	rows, more, err := b.store.claims(b.baseCtx, open.name, read.From)
	floorRead.Wait()
	err = cmp.Or(err, floorErr)
	b.postResult(open, func(now time.Time) {
		if err != nil {
			event.LedgerReadFailed.Log(b.log, slog.String("log", open.name.Prefix()), slog.Any("error", err))
			open.core.ReadFailed(now)
			return
		}
		open.core.RowsRead(floor, rows, more)
		b.floors[open.name.Floor()] = open.core.Floor()
	})
}

func (b *batcher) create(open *openLog, create claim.Create) {
	f, err := b.store.createClaims(b.baseCtx, open.name, &create)
	if err != nil {
		event.LedgerRowMalformed.Log(b.log, slog.String("log", open.name.Prefix()), slog.Any("error", err))
	}
	b.postResult(open, func(now time.Time) { open.core.WriteDone(now, f) })
}

// postResult passes the result of a call to the event loop.
func (b *batcher) postResult(open *openLog, event func(now time.Time)) {
	b.loop.post(func(now time.Time) {
		event(now)
		b.changed[open] = struct{}{}
	})
}

// sweep drops idle logs from memory: those idle for longer than maxIdle, and further
// ones, oldest first, while there are more than MaxKeys keys. A dropped log is read again
// when it is needed.
func (b *batcher) sweep(now time.Time) {
	if now.Sub(b.lastSweep) < time.Second {
		return
	}
	b.lastSweep = now
	keys := 0
	for name, open := range b.logs {
		if open.core.Idle() && now.Sub(open.core.LastUsed()) > maxIdle {
			delete(b.logs, name)
			continue
		}
		keys += open.core.Keys()
	}
	for keys > b.settings.MaxKeys {
		oldest := b.oldestIdle()
		if oldest == nil {
			return
		}
		keys -= oldest.core.Keys()
		delete(b.logs, oldest.name)
	}
}

func (b *batcher) oldestIdle() *openLog {
	var oldest *openLog
	for _, open := range b.logs {
		if open.core.Idle() && (oldest == nil || open.core.LastUsed().Before(oldest.core.LastUsed())) {
			oldest = open
		}
	}
	return oldest
}

// readSettlement reads the settlement of a key from a row.
func (b *batcher) readSettlement(ctx context.Context, name key.Log, row uint64, id key.ID) (claim.Entry, bool) {
	stored, err := b.store.get(ctx, name.Row(row))
	if err != nil || stored.Version == 0 {
		return claim.Entry{}, false
	}
	decoded, err := claim.Decode(stored.Value)
	if err != nil {
		return claim.Entry{}, false
	}
	for _, e := range decoded.Entries {
		if e.Kind == claim.KindSettle && e.ID == id {
			return e, true
		}
	}
	return claim.Entry{}, false
}
