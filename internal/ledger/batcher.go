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

// idleLog is how long a log that nobody uses stays in memory.
const idleLog = 3 * time.Minute

// batcher is the duty that brings entries into claim logs. Any node may batch
// any log; which one does is decided elsewhere and only for economy.
type batcher struct {
	settings Settings
	process  string
	store    *store
	log      *slog.Logger

	ring  *ring
	calls conc.WaitGroup
	// The fields below belong to the duty.
	logs    map[key.Log]*openLog
	floors  map[string]*claim.Floor // by the keys of their rows
	dirty   map[*openLog]struct{}
	waits   map[uint64]chan claim.Reply
	number  uint64
	swept   time.Time
	running context.Context
}

// openLog is a log in memory.
type openLog struct {
	name key.Log
	core *claim.Log
	wake time.Time
}

func newBatcher(s Settings, process string, st *store, log *slog.Logger) *batcher {
	return &batcher{
		settings: s, process: process, store: st, log: log, ring: newRing(),
		logs: map[key.Log]*openLog{}, floors: map[string]*claim.Floor{}, dirty: map[*openLog]struct{}{}, waits: map[uint64]chan claim.Reply{},
	}
}

// run is the duty. It ends with ctx, when the calls that are out have ended.
func (b *batcher) run(ctx context.Context) {
	b.running = ctx
	b.ring.run(ctx, b.step)
	b.calls.Wait()
}

// append brings an entry into a log and waits for the reply, which comes at
// the deadline at the latest.
func (b *batcher) append(name key.Log, e claim.Entry, wait time.Duration) claim.Reply {
	reply := make(chan claim.Reply, 1)
	taken := b.ring.post(func(now time.Time) {
		b.number++
		b.waits[b.number] = reply
		open := b.open(now, name)
		open.core.Add(now, claim.Op{Number: b.number, Entry: e, Deadline: now.Add(wait)})
		b.dirty[open] = struct{}{}
	})
	if !taken {
		return claim.Reply{Verdict: claim.VerdictRefused}
	}
	select {
	case r := <-reply:
		return r
	case <-b.ring.done:
		return claim.Reply{Verdict: claim.VerdictInDoubt}
	}
}

func (b *batcher) open(now time.Time, name key.Log) *openLog {
	settings := b.settings.log(name, b.process, now)
	open := b.logs[name]
	if open == nil {
		open = &openLog{name: name, core: claim.NewLog(name, settings, b.floors[name.Floor()])}
		b.logs[name] = open
	}
	open.core.SetGap(settings.MinGap, settings.Burst)
	return open
}

// step looks at the logs that something happened to, or whose time has come.
func (b *batcher) step(now time.Time) time.Time {
	var wake time.Time
	for _, open := range b.logs {
		if _, ok := b.dirty[open]; ok || (!open.wake.IsZero() && !now.Before(open.wake)) {
			b.ready(now, open)
		}
		if !open.wake.IsZero() && (wake.IsZero() || open.wake.Before(wake)) {
			wake = open.wake
		}
	}
	clear(b.dirty)
	b.sweep(now)
	return wake
}

func (b *batcher) ready(now time.Time, open *openLog) {
	r := open.core.Ready(now)
	open.wake = r.Wake
	for _, reply := range r.Replies {
		b.waits[reply.Number] <- reply // has room for the one reply it gets
		delete(b.waits, reply.Number)
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
	var both conc.WaitGroup
	if read.Floor {
		both.Go(func() { floor, floorErr = b.store.floor(b.running, open.name) })
	}
	rows, more, err := b.store.claims(b.running, open.name, read.From)
	both.Wait()
	err = cmp.Or(err, floorErr)
	b.back(open, func(now time.Time) {
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
	f, err := b.store.createClaims(b.running, open.name, &create)
	if err != nil {
		event.LedgerRowMalformed.Log(b.log, slog.String("log", open.name.Prefix()), slog.Any("error", err))
	}
	b.back(open, func(now time.Time) { open.core.WriteDone(now, f) })
}

// back brings the result of a call to the duty.
func (b *batcher) back(open *openLog, event func(now time.Time)) {
	b.ring.post(func(now time.Time) {
		event(now)
		b.dirty[open] = struct{}{}
	})
}

// sweep drops logs from memory that are not in use: those idle for long, and
// more when the keys would take too much. A dropped log is read again when it
// is needed.
func (b *batcher) sweep(now time.Time) {
	if now.Sub(b.swept) < time.Second {
		return
	}
	b.swept = now
	keys := 0
	for name, open := range b.logs {
		if open.core.Idle() && now.Sub(open.core.Used()) > idleLog {
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
		if open.core.Idle() && (oldest == nil || open.core.Used().Before(oldest.core.Used())) {
			oldest = open
		}
	}
	return oldest
}

// settled reads what a settlement in a row says of a key.
func (b *batcher) settled(ctx context.Context, name key.Log, row uint64, id key.ID) (claim.Entry, bool) {
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
