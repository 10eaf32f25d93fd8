package ledger

import (
	"context"
	"encoding/base64"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/ledger/wire"
	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// processSeparator stands between a node's id and its process's.
const processSeparator = "~"

// Ledger is a node's part of the ledger.
type Ledger struct {
	settings Settings
	deps     Deps
	process  string // this node's id and a random one of its process

	store      *store
	route      *route
	holders    *holders
	batcher    *batcher
	collecting *collecting
	billing    *billing
	later      *later
	janitor    *janitor
	reader     *billReader
	folds      atomic.Uint64 // numbers of this process's folds
	stats      counters

	duties  conc.WaitGroup
	calls   conc.WaitGroup
	running context.Context
	stop    context.CancelFunc

	mu     sync.RWMutex
	open   bool
	inside sync.WaitGroup // calls of others
}

type counters struct {
	claims, granted, bills atomic.Uint64
}

// New returns a ledger that is not yet started.
func New(s Settings, d Deps) *Ledger {
	l := &Ledger{settings: s, deps: d, process: d.Self.ID + processSeparator + processName()}
	l.running, l.stop = context.WithCancel(context.Background())
	l.store = &store{table: d.Table, objects: d.Objects}
	l.route = newRoute(d)
	l.holders = &holders{peers: d.Peers, route: l.route}
	l.batcher = newBatcher(s, l.process, l.store, d.Log)
	l.collecting = newCollecting(s, l.process, l.store, l.route, l.holders, d.Log)
	l.billing = newBilling(l)
	l.later = &later{try: l.tryLater}
	l.janitor = newJanitor(l)
	l.reader = newBillReader(l.store, s)
	return l
}

// processName is unique among processes; it goes with every claim, so it is
// kept short.
func processName() string {
	u := uuid.New()
	return base64.RawURLEncoding.EncodeToString(u[:])
}

// Start begins the ledger's duties.
func (l *Ledger) Start() error {
	l.mu.Lock()
	l.open = true
	l.mu.Unlock()
	l.duties.Go(func() { l.batcher.run(l.running) })
	l.duties.Go(func() { l.collecting.run(l.running) })
	l.duties.Go(func() { l.billing.run(l.running) })
	l.duties.Go(func() { l.later.run(l.running) })
	l.duties.Go(func() { l.janitor.run(l.running) })
	event.LedgerStarted.Log(l.deps.Log, slog.String("process", l.process))
	return nil
}

// enter counts a call; false means that the ledger is closed.
func (l *Ledger) enter() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.open {
		l.inside.Add(1)
	}
	return l.open
}

func (l *Ledger) leave() { l.inside.Done() }

// Close makes all bills in hand safe, then stops the duties: its own have to be
// in a store, those that it holds for others there or held by others. The
// context bounds how long it tries; bills that only peers hold then are left to
// them.
func (l *Ledger) Close(ctx context.Context) error {
	l.mu.Lock()
	wasOpen := l.open
	l.open = false
	l.mu.Unlock()
	if !wasOpen {
		l.stop()
		return nil
	}
	l.collecting.leave()
	err := l.flush(ctx)
	l.handOver()
	l.stop()
	// In this order: duties and calls of others begin calls to peers.
	l.duties.Wait()
	l.inside.Wait()
	l.calls.Wait()
	event.LedgerStopped.Log(l.deps.Log, slog.String("process", l.process))
	return err
}

// flushTick is how often a ledger that closes looks whether it is done.
const flushTick = 20 * time.Millisecond

func (l *Ledger) flush(ctx context.Context) error {
	ticker := time.NewTicker(flushTick)
	defer ticker.Stop()
	for l.collecting.unstored.Load() > 0 || l.later.Len() > 0 {
		l.later.flush(ctx)
		select {
		case <-ctx.Done():
			return l.abandon()
		case <-ticker.C:
		}
	}
	return nil
}

// handOver leaves the bills that no store has taken to the peers that hold them.
func (l *Ledger) handOver() {
	var pieces []bill.Piece
	_ = l.collecting.withHolder(func(_ time.Time, c *collecting) { pieces = c.core.Pieces() }) // none, if the duty has ended
	l.holders.gone(context.Background(), pieces)
}

func (l *Ledger) abandon() error {
	left := l.collecting.unstored.Load()
	event.LedgerFlushFailed.Log(l.deps.Log, slog.Int64("bills", left), slog.Int("settlements", l.later.Len()))
	return eris.Errorf("%d bills and %d settlements are in no store yet", left, l.later.Len())
}

// Ready says whether the ledger could make a further bill safe; when not, new
// work should be refused as not run.
func (l *Ledger) Ready() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.open && !l.collecting.full.Load()
}

// Bill returns when the bill is safe. The error is [ErrUnsafe].
func (l *Ledger) Bill(ctx context.Context, b Bill) (Safety, error) {
	if !l.enter() {
		return bill.Unsafe, eris.Wrap(ErrUnsafe, ErrClosed.Error())
	}
	defer l.leave()
	return l.bill(ctx, b)
}

func (l *Ledger) bill(ctx context.Context, b Bill) (Safety, error) {
	l.stats.bills.Add(1)
	b.At = b.At.Truncate(time.Millisecond)
	safety := l.billing.send(ctx, b)
	if safety == bill.Unsafe {
		return safety, eris.Wrap(ErrUnsafe, "no store and too few peers took the bill")
	}
	return safety, nil
}

// tryLater tries an entry whose time was up before.
func (l *Ledger) tryLater(ctx context.Context, name key.Log, e *claim.Entry) bool {
	switch l.appendEntry(ctx, name, e).verdict {
	case claim.VerdictDone, claim.VerdictTooOld, claim.VerdictRejected:
		return true
	default:
		return false
	}
}

// alive says whether a node answers at once, which needs no platform.
func (l *Ledger) alive(vm platform.VM) bool {
	if vm.ID == l.deps.Self.ID {
		return true
	}
	ctx, cancel := context.WithTimeout(l.running, aliveTimeout)
	defer cancel()
	return l.deps.Peers.Call(ctx, vm.Peer, methodAlive, &wire.AliveArgs{}, &wire.AliveReply{}) == nil
}

// aliveTimeout is long for a call that needs no waiting, also between regions.
const aliveTimeout = 400 * time.Millisecond

func (l *Ledger) call(ctx context.Context, vm platform.VM, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), holdTimeout)
	defer cancel()
	return l.deps.Peers.Call(ctx, vm.Peer, method, args, reply)
}

// notSent says that a peer was not reached and cannot have acted.
func notSent(err error) bool {
	return errors.Is(err, peer.ErrNotSent) || err.Error() == ErrClosed.Error()
}

// Stats returns the present counts.
func (l *Ledger) Stats() Stats {
	return Stats{
		Claims: l.stats.claims.Load(), Granted: l.stats.granted.Load(), Bills: l.stats.bills.Load(),
		TableWrites: l.store.writes.Load(), TableReads: l.store.reads.Load(), ObjectPuts: l.store.puts.Load(),
		ObjectReads: l.store.objectReads.Load(),
		Conflicts:   l.store.conflicts.Load(), LostAcks: l.store.lostAcks.Load(),
		Held: int(l.collecting.held.Load()), Waiting: int(l.collecting.waiting.Load()),
	}
}
