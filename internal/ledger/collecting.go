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

// collecting is the duty that makes bills safe: this node's own, and while it
// collects for its failure domain, those of its neighbours. It also keeps the
// copies that others want held.
type collecting struct {
	settings Settings
	process  string
	store    *store
	route    *route
	holders  *holders
	log      *slog.Logger

	ring  *ring
	calls conc.WaitGroup
	// The fields below belong to the duty.
	core    *bill.Collector
	holder  *hold.Holder
	waits   map[uint64]func(bill.Safety)
	number  uint64
	looked  time.Time
	leaving bool        // takes no more copies
	safest  bill.Safety // of the last answers, for the log
	running context.Context

	waiting  atomic.Int64
	unstored atomic.Int64
	held     atomic.Int64
	full     atomic.Bool
}

func newCollecting(s Settings, process string, st *store, r *route, h *holders, log *slog.Logger) *collecting {
	return &collecting{
		settings: s, process: process, store: st, route: r, holders: h, log: log, ring: newRing(),
		core: bill.NewCollector(s.collector(process)), holder: hold.New(s.holder()),
		waits: map[uint64]func(bill.Safety){}, safest: bill.InTable,
	}
}

// run is the duty. It ends with ctx, when the calls that are out have ended.
func (c *collecting) run(ctx context.Context) {
	c.running = ctx
	c.ring.run(ctx, c.step)
	c.calls.Wait()
}

// collect makes bills safe and says for each where it is kept.
func (c *collecting) collect(bills []bill.Bill) []bill.Safety {
	safe := make([]bill.Safety, len(bills))
	left := len(bills)
	done := make(chan struct{})
	taken := c.ring.post(func(time.Time) {
		for i, b := range bills {
			c.number++
			c.waits[c.number] = func(s bill.Safety) {
				safe[i] = s
				if left--; left == 0 {
					close(done)
				}
			}
			c.core.Add(c.number, b)
		}
	})
	if !taken || len(bills) == 0 {
		return safe
	}
	select {
	case <-done:
		return safe
	case <-c.ring.done:
		return make([]bill.Safety, len(bills))
	}
}

func (c *collecting) step(now time.Time) time.Time {
	c.look(now)
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
		c.calls.Go(func() { c.holders.drop(c.running, r.Drop) })
	}
	for _, reply := range r.Replies {
		c.waits[reply.Number](reply.Safety)
		delete(c.waits, reply.Number)
		c.report(reply.Safety)
	}
	c.publish()
	return c.wake(now, r.Wake)
}

// look takes over the rows of silent owners and fits the gap to the number of
// failure domains, each of which has one collector.
func (c *collecting) look(now time.Time) {
	if now.Sub(c.looked) < time.Second {
		return
	}
	c.looked = now
	c.core.SetGap(c.settings.billGap(c.route.domains()))
	for _, row := range c.holder.Orphans(now) {
		event.LedgerAdopted.Log(c.log, slog.String("writer", row.Writer), slog.Int("bills", row.Bills.Len()))
		c.core.Adopt(now, row)
	}
}

// leave takes over all copies that others have here, and takes no more. A copy
// may be the last: its owner may be lost, and the other holders may stop at the
// same time, before anybody has noticed; its request would never be billed.
// Taken over, it is one of the bills that the stop waits for. An owner that
// lives hears that the copy is gone and has it held elsewhere.
func (c *collecting) leave() {
	_ = c.withHolder(func(now time.Time, c *collecting) { // none, if the duty has ended
		c.leaving = true
		for _, row := range c.holder.All(now) {
			c.core.Adopt(now, row)
		}
		c.publish()
	})
}

// wake lets the duty look again while it holds something.
func (c *collecting) wake(now, wake time.Time) time.Time {
	if c.holder.Empty() {
		return wake
	}
	if next := now.Add(time.Second); wake.IsZero() || next.Before(wake) {
		return next
	}
	return wake
}

func (c *collecting) publish() {
	c.waiting.Store(int64(c.core.Waiting()))
	c.unstored.Store(int64(c.core.Unstored()))
	c.held.Store(int64(c.holder.Bills()))
	c.full.Store(c.core.Full())
}

// report logs when bills leave the usual way, and when they are back on it.
func (c *collecting) report(s bill.Safety) {
	if s == c.safest {
		return
	}
	switch s {
	case bill.Unsafe:
		event.LedgerUnsafe.Log(c.log)
	case bill.InTable:
		event.LedgerTableBack.Log(c.log)
	default:
		event.LedgerTableDown.Log(c.log, slog.String("kept", s.String()))
	}
	c.safest = s
}

func (c *collecting) write(w bill.Write) {
	f, err := c.store.createBills(c.running, w.Row)
	c.encoded(err)
	c.ring.post(func(now time.Time) { c.core.TableDone(now, w, f) })
}

func (c *collecting) put(w bill.Write) {
	f, _ := c.store.putBills(c.running, w.Row) // the fate says it all
	c.ring.post(func(now time.Time) { c.core.ObjectDone(now, w, f) })
}

// encoded panics on bills that do not encode: they are plain values.
func (c *collecting) encoded(err error) {
	if err != nil {
		panic(err)
	}
}

func (c *collecting) hold(w bill.Write) {
	by := c.holders.hold(c.running, w.Row)
	c.ring.post(func(now time.Time) { c.core.HoldDone(now, w, by) })
}

func (c *collecting) refresh(pieces []bill.Piece) {
	missing := c.holders.refresh(c.running, pieces)
	c.ring.post(func(time.Time) {
		for _, piece := range missing {
			c.core.PieceLost(piece)
		}
	})
}
