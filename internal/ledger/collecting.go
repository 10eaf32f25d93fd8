package ledger

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/hold"
)

// collecting is the background task that stores bills: this node's own, and those of
// other nodes while it is the collector of its failure domain. It also holds copies of
// rows for nodes in other failure domains.
type collecting struct {
	settings Settings
	process  string
	store    *store
	router   *router
	holders  *holders
	log      *slog.Logger

	loop  *eventLoop
	calls conc.WaitGroup
	// The fields below are only accessed by the event loop.
	core           *bill.Collector
	holder         *hold.Holder
	replies        map[uint64]func(bill.Safety)
	lastNumber     uint64
	lastMaintained time.Time
	stopping       bool        // accepts no further copies
	offer          offer       // of rows at risk to other collectors
	lastPlace      bill.Safety // place of the last bill, to log changes
	baseCtx        context.Context

	// Sizes for other goroutines, updated after each step.
	waiting  atomic.Int64
	unstored atomic.Int64
	held     atomic.Int64
	full     atomic.Bool
	stranded atomic.Bool // neither this node nor another collector can make bills safe
	diverts  atomic.Bool // other collectors make this node's bills safe
}

func newCollecting(s Settings, process string, st *store, r *router, h *holders, log *slog.Logger) *collecting {
	return &collecting{
		settings: s, process: process, store: st, router: r, holders: h, log: log, loop: newEventLoop(),
		core: bill.NewCollector(s.collector(process)), holder: hold.New(s.holder()),
		replies: map[uint64]func(bill.Safety){}, lastPlace: bill.InTable,
	}
}

// run runs the task until ctx ends and all calls in flight have ended.
func (c *collecting) run(ctx context.Context) {
	c.baseCtx = ctx
	c.loop.run(ctx, c.step)
	c.calls.Wait()
}

// collect stores bills and returns for each where it is stored.
func (c *collecting) collect(bills []bill.Bill, from billSource) []bill.Safety {
	safe := make([]bill.Safety, len(bills))
	remaining := len(bills)
	done := make(chan struct{})
	posted := c.loop.post(func(now time.Time) {
		if c.declines(now, from) {
			close(done)
			return
		}
		for i, b := range bills {
			c.lastNumber++
			c.replies[c.lastNumber] = func(s bill.Safety) {
				safe[i] = s
				if remaining--; remaining == 0 {
					close(done)
				}
			}
			if from == fromOffer {
				c.core.AddOffered(c.lastNumber, b)
			} else {
				c.core.Add(c.lastNumber, b)
			}
		}
	})
	if !posted || len(bills) == 0 {
		return safe
	}
	select {
	case <-done:
		return safe
	case <-c.loop.done:
		return make([]bill.Safety, len(bills))
	}
}

func (c *collecting) step(now time.Time) time.Time {
	c.maintain(now)
	r := c.core.Ready(now)
	for _, w := range r.Table {
		c.calls.Go(func() { c.write(w) })
	}
	for _, w := range r.Objects {
		c.calls.Go(func() { c.put(w) })
	}
	for _, w := range r.Hold {
		c.calls.Go(func() { c.hold(w) })
	}
	if len(r.Refresh) > 0 {
		c.calls.Go(func() { c.refresh(r.Refresh) })
	}
	if len(r.Drop) > 0 {
		c.calls.Go(func() { c.holders.drop(c.baseCtx, r.Drop) })
	}
	for _, reply := range r.Replies {
		c.replies[reply.Number](reply.Safety)
		delete(c.replies, reply.Number)
		c.logPlace(reply)
	}
	c.offerRows(now)
	c.updateSizes(now)
	return c.nextWake(now, r.Wake)
}

// maintain takes over the rows of lost owners, and adapts the gap between writes to the
// number of failure domains, each of which has one collector. It does so once a second.
func (c *collecting) maintain(now time.Time) {
	if now.Sub(c.lastMaintained) < time.Second {
		return
	}
	c.lastMaintained = now
	c.core.SetGap(c.settings.billPacing(c.router.domainCount()))
	for _, row := range c.holder.TakeOrphans(now) {
		event.LedgerAdopted.Log(c.log, slog.String("writer", row.Writer), slog.Int("bills", row.Bills.Len()))
		c.core.Adopt(now, row)
	}
}

// stopHolding takes over all rows held for other nodes and accepts no more. A copy may be
// the last one, if its owner is lost and the other holders stop at the same time, before
// the loss is detected. Its request would then never be billed. Close waits for rows that
// were taken over. An owner that is alive finds the copy missing at its next refresh and
// has it held elsewhere.
func (c *collecting) stopHolding() {
	_ = c.withHolder(func(now time.Time, c *collecting) { // there are none if the task has ended
		c.stopping = true
		for _, row := range c.holder.TakeAll(now) {
			c.core.Adopt(now, row)
		}
		c.updateSizes(now)
	})
}

// nextWake returns the time of the next step: at most a second from now while rows are
// held.
func (c *collecting) nextWake(now, wake time.Time) time.Time {
	if c.holder.Empty() {
		return wake
	}
	if next := now.Add(time.Second); wake.IsZero() || next.Before(wake) {
		return next
	}
	return wake
}

func (c *collecting) updateSizes(now time.Time) {
	c.waiting.Store(int64(c.core.Waiting()))
	c.unstored.Store(int64(c.core.Unstored()))
	c.held.Store(int64(c.holder.Bills()))
	c.full.Store(c.core.Full())
	if stranded := c.offer.failed && c.core.AtRisk(now); c.stranded.Swap(stranded) != stranded {
		c.logChange(stranded, event.LedgerAtRisk, event.LedgerSafeAgain)
	}
	if !c.core.StoresFail(now) {
		c.setDiverts(false)
	}
}

// logPlace logs a change of the place where bills are stored.
func (c *collecting) logPlace(r bill.Reply) {
	s := r.Safety
	if s == c.lastPlace {
		return
	}
	switch s {
	case bill.Unsafe:
		event.LedgerUnsafe.Log(c.log, slog.String("tried", r.Tried))
	case bill.InTable:
		event.LedgerTableBack.Log(c.log)
	default:
		event.LedgerTableDown.Log(c.log, slog.String("kept", s.String()))
	}
	c.lastPlace = s
}

// logChange logs that a state has begun or ended.
func (c *collecting) logChange(begun bool, begins, ends event.Event) {
	e := ends
	if begun {
		e = begins
	}
	e.Log(c.log, slog.Int("bills", c.core.Waiting()))
}

func (c *collecting) write(w bill.Write) {
	f, err := c.store.createBills(c.baseCtx, w.Row)
	c.panicOnEncodeError(err)
	c.loop.post(func(now time.Time) { c.core.TableDone(now, w, f) })
}

func (c *collecting) put(w bill.Write) {
	f, _ := c.store.putBills(c.baseCtx, w.Row) // the fate covers the error
	c.loop.post(func(now time.Time) { c.core.ObjectDone(now, w, f) })
}

// panicOnEncodeError panics if bills could not be encoded, which cannot happen with
// plain values.
func (c *collecting) panicOnEncodeError(err error) {
	if err != nil {
		panic(err)
	}
}

func (c *collecting) hold(w bill.Write) {
	holderIDs := c.holders.hold(c.baseCtx, w.Row)
	c.loop.post(func(now time.Time) { c.core.HoldDone(now, w, holderIDs) })
}

func (c *collecting) refresh(heldRows []bill.HeldRow) {
	missing := c.holders.refresh(c.baseCtx, heldRows)
	c.loop.post(func(time.Time) {
		for _, heldRow := range missing {
			c.core.CopyLost(heldRow)
		}
	})
}
