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

// processSeparator separates a node's id from the random id of its process.
const processSeparator = "~"

// Ledger is the ledger of one node. It works together with the ledgers of other nodes.
type Ledger struct {
	settings Settings
	deps     Deps
	process  string // this node's id and a random id of this process

	store         *store
	router        *router
	holders       *holders
	batcher       *batcher
	collecting    *collecting
	billSender    *billSender
	retries       *retryQueue
	janitor       *janitor
	reader        *billReader
	lastCompacted atomic.Uint64 // number of this process's last compacted object
	stats         counters

	tasks   conc.WaitGroup
	calls   conc.WaitGroup
	baseCtx context.Context
	stop    context.CancelFunc

	mu          sync.RWMutex
	open        bool
	activeCalls sync.WaitGroup // calls by callers and peers
}

// counters counts calls since the start.
type counters struct {
	claims, granted, bills atomic.Uint64
}

// New returns a ledger. It refuses all calls until Start.
func New(s Settings, d Deps) *Ledger {
	l := &Ledger{settings: s, deps: d, process: d.Self.ID + processSeparator + newProcessID()}
	l.baseCtx, l.stop = context.WithCancel(context.Background())
	l.store = &store{table: d.Table, objects: d.Objects}
	l.router = newRouter(d)
	l.holders = &holders{peers: d.Peers, router: l.router}
	l.batcher = newBatcher(s, l.process, l.store, d.Log)
	l.collecting = newCollecting(s, l.process, l.store, l.router, l.holders, d.Log)
	l.billSender = newBillSender(l)
	l.retries = &retryQueue{try: l.retryEntry}
	l.janitor = newJanitor(l)
	l.reader = newBillReader(l.store, s)
	return l
}

// newProcessID returns a unique id for this process. It is part of every claim, so it is
// kept short.
func newProcessID() string {
	u := uuid.New()
	return base64.RawURLEncoding.EncodeToString(u[:])
}

// Start starts the ledger's background tasks. It always returns nil.
func (l *Ledger) Start() error {
	l.mu.Lock()
	l.open = true
	l.mu.Unlock()
	l.tasks.Go(func() { l.batcher.run(l.baseCtx) })
	l.tasks.Go(func() { l.collecting.run(l.baseCtx) })
	l.tasks.Go(func() { l.billSender.run(l.baseCtx) })
	l.tasks.Go(func() { l.retries.run(l.baseCtx) })
	l.tasks.Go(func() { l.janitor.run(l.baseCtx) })
	event.LedgerStarted.Log(l.deps.Log, slog.String("process", l.process))
	return nil
}

// beginCall registers a call, unless the ledger is closed; then it returns false.
func (l *Ledger) beginCall() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.open {
		l.activeCalls.Add(1)
	}
	return l.open
}

func (l *Ledger) endCall() { l.activeCalls.Done() }

// Close secures all bills in memory and then stops the background tasks. This node's
// bills must be in a store. Bills that it holds for other nodes must be in a store or be
// held by other peers. The context bounds how long it tries. After that, bills that only
// peers hold are left to them, and the error says how many.
func (l *Ledger) Close(ctx context.Context) error {
	l.mu.Lock()
	wasOpen := l.open
	l.open = false
	l.mu.Unlock()
	if !wasOpen {
		l.stop()
		return nil
	}
	l.collecting.stopHolding()
	err := l.flush(ctx)
	l.handOver()
	l.stop()
	// The order matters: background tasks and active calls start calls to peers.
	l.tasks.Wait()
	l.activeCalls.Wait()
	l.calls.Wait()
	event.LedgerStopped.Log(l.deps.Log, slog.String("process", l.process))
	return err
}

// flushTick is how often Close checks whether all bills are secured.
const flushTick = 20 * time.Millisecond

func (l *Ledger) flush(ctx context.Context) error {
	ticker := time.NewTicker(flushTick)
	defer ticker.Stop()
	for l.collecting.unstored.Load() > 0 || l.retries.Len() > 0 {
		l.retries.flush(ctx)
		select {
		case <-ctx.Done():
			return l.flushError()
		case <-ticker.C:
		}
	}
	return nil
}

// handOver has the peers that hold this node's unstored bills take them over.
func (l *Ledger) handOver() {
	var heldRows []bill.HeldRow
	_ = l.collecting.withHolder(func(_ time.Time, c *collecting) { heldRows = c.core.HeldRows() }) // none if the task has ended
	l.holders.ownerStopped(context.Background(), heldRows)
}

func (l *Ledger) flushError() error {
	left := l.collecting.unstored.Load()
	event.LedgerFlushFailed.Log(l.deps.Log, slog.Int64("bills", left), slog.Int("settlements", l.retries.Len()))
	return eris.Errorf("%d bills and %d settlements are in no store yet", left, l.retries.Len())
}

// Ready reports whether a further bill can be expected to become safe, at this node or at another
// collector of its failure domain. If not, new work must be refused before it runs.
func (l *Ledger) Ready() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.open && !l.collecting.full.Load() && !l.collecting.stranded.Load()
}

// Bill stores a bill, and returns once it is safe, with the place where it is stored. The
// error is [ErrUnsafe].
func (l *Ledger) Bill(ctx context.Context, b Bill) (Safety, error) {
	if !l.beginCall() {
		return bill.Unsafe, eris.Wrap(ErrUnsafe, ErrClosed.Error())
	}
	defer l.endCall()
	return l.bill(ctx, b)
}

func (l *Ledger) bill(ctx context.Context, b Bill) (Safety, error) {
	l.stats.bills.Add(1)
	b.At = b.At.Truncate(time.Millisecond)
	r := l.billSender.send(ctx, b)
	if r.safety == bill.Unsafe {
		return r.safety, eris.Wrap(ErrUnsafe, "no store and too few peers took the bill ("+r.asked+")")
	}
	return r.safety, nil
}

// retryEntry tries once more to append an entry. It reports whether the entry needs no
// further try.
func (l *Ledger) retryEntry(ctx context.Context, name key.Log, e *claim.Entry) bool {
	switch l.appendEntry(ctx, name, e).verdict {
	case claim.VerdictDone, claim.VerdictTooOld, claim.VerdictRejected:
		return true
	default:
		return false
	}
}

// alive reports whether a node answers a call that does not depend on the platform.
func (l *Ledger) alive(vm platform.VM) bool {
	if vm.ID == l.deps.Self.ID {
		return true
	}
	ctx, cancel := context.WithTimeout(l.baseCtx, aliveTimeout)
	defer cancel()
	return l.deps.Peers.Call(ctx, vm.Peer, methodAlive, &wire.AliveArgs{}, &wire.AliveReply{}) == nil
}

// aliveTimeout is ample for a call that is answered at once, also between regions.
const aliveTimeout = 400 * time.Millisecond

func (l *Ledger) call(ctx context.Context, vm platform.VM, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), holdTimeout)
	defer cancel()
	return l.deps.Peers.Call(ctx, vm.Peer, method, args, reply)
}

// notSent reports whether an error shows that a peer cannot have acted on a call.
func notSent(err error) bool {
	return errors.Is(err, peer.ErrNotSent) || err.Error() == ErrClosed.Error()
}

// Stats returns the current counts and sizes.
func (l *Ledger) Stats() Stats {
	return Stats{
		Claims: l.stats.claims.Load(), Granted: l.stats.granted.Load(), Bills: l.stats.bills.Load(),
		TableWrites: l.store.writes.Load(), TableReads: l.store.reads.Load(), ObjectPuts: l.store.puts.Load(),
		ObjectReads: l.store.objectReads.Load(),
		Conflicts:   l.store.conflicts.Load(), LostAcks: l.store.lostAcks.Load(),
		Held: int(l.collecting.held.Load()), Waiting: int(l.collecting.waiting.Load()),
	}
}
