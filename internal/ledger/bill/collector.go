package bill

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/fate"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/ledger/pace"
)

// Collector makes bills safe: it packs them into rows and writes these to the
// table; when that is down, to the object store; when that is down too, it has
// peers in other failure domains hold copies until a store takes them. It
// needs no claim to its bills: two collectors that write the same bill write
// it twice under one key, which is one bill.
type Collector struct {
	settings CollectorSettings
	pace     *pace.Pace // of writes to stores
	holding  *pace.Pace // of rows held by peers alone
	table    health
	objects  health

	open    []waitingBill
	active  []*batch // somebody waits for them
	backlog []*batch // nobody waits, and no store has them
	known   map[uint64]*batch
	number  uint64 // of batches
	seq     uint64 // of rows
	bills   int    // in memory

	refreshAt time.Time
	replies   []Reply
	drops     []Piece
}

// retryGap is the least time before a row is written again.
const retryGap = 50 * time.Millisecond

type waitingBill struct {
	number uint64
	bucket key.Bucket
	bill   Bill
}

// NewCollector returns an empty collector.
func NewCollector(s CollectorSettings) *Collector {
	c := &Collector{
		settings: s,
		pace:     pace.New(s.MinGap, s.MaxGap),
		holding:  pace.New(s.MinGap, s.MinGap),
		table:    health{grace: s.TableGrace, probe: s.Probe, most: s.MaxFlights},
		objects:  health{grace: s.TableGrace, probe: s.Probe, most: s.MaxFlights},
		known:    map[uint64]*batch{},
	}
	c.pace.SetBurst(s.Burst)
	return c
}

// Add takes a bill; its reply comes in a later Ready.
func (c *Collector) Add(number uint64, b Bill) {
	if c.bills >= c.settings.MaxWaiting {
		c.replies = append(c.replies, Reply{Number: number, Safety: Unsafe})
		return
	}
	c.bills++
	c.open = append(c.open, waitingBill{number, c.settings.Layout.Bill(b.Key, b.At), b})
}

// Adopt takes over a row whose owner has vanished. The row keeps its name:
// several holders may take it over, and a paused owner may wake, and they all
// write the same row and hold the same copies. Under new names, copies would
// multiply with each loss.
func (c *Collector) Adopt(now time.Time, row Row) {
	b := c.newBatch(now, row)
	b.adopted = true
	c.rest(b)
	c.bills += row.Bills.Len()
}

// Waiting is how many bills are in memory.
func (c *Collector) Waiting() int { return c.bills }

// Unstored is how many bills a process that stops must still see to: those of
// its own until a store has them, those that it took over until as many others
// hold them as their owner had asked.
func (c *Collector) Unstored() int {
	left := c.bills
	for _, b := range c.backlog {
		if b.adopted && b.held {
			left -= b.row.Bills.Len()
		}
	}
	return left
}

// Full says whether a further bill would be unsafe.
func (c *Collector) Full() bool { return c.bills >= c.settings.MaxWaiting }

// SetGap changes the time between two writes, and how many may go before it.
func (c *Collector) SetGap(gap time.Duration, burst int) {
	c.pace.SetFloor(gap)
	c.pace.SetBurst(burst)
	c.holding.SetFloor(gap)
}

// TableDone takes the fate of a write to the table.
func (c *Collector) TableDone(now time.Time, w Write, f fate.Fate) {
	stored := c.landed(now, w, &c.table, f)
	if b := c.known[w.Batch]; b != nil {
		c.stored(now, b, &b.table, stored, InTable)
	}
}

// ObjectDone takes the fate of a put.
func (c *Collector) ObjectDone(now time.Time, w Write, f fate.Fate) {
	stored := c.landed(now, w, &c.objects, f)
	if b := c.known[w.Batch]; b != nil {
		c.stored(now, b, &b.objects, stored, InObjects)
	}
}

// landed learns from the end of a write, also when another store was faster
// and the batch is gone.
func (c *Collector) landed(now time.Time, w Write, h *health, f fate.Fate) bool {
	stored := h.done(now, w.sent, f)
	switch {
	case stored:
		c.pace.Succeeded()
	case f == fate.Refused && !h.down():
		c.pace.Failed(now) // the platform's limit may be reached
	}
	return stored
}

func (c *Collector) stored(now time.Time, b *batch, o *outgoing, stored bool, s Safety) {
	o.out = false
	if stored {
		c.finish(b, s)
		return
	}
	o.again = now.Add(max(c.pace.Gap(), retryGap))
}

// finish ends a batch that a store has taken.
func (c *Collector) finish(b *batch, s Safety) {
	c.answer(b, s)
	c.drops = append(c.drops, b.pieces...)
	c.bills -= b.row.Bills.Len()
	delete(c.known, b.number)
	c.active = without(c.active, b)
	c.backlog = without(c.backlog, b)
}

func (c *Collector) answer(b *batch, s Safety) {
	for _, number := range b.waiting {
		c.replies = append(c.replies, Reply{Number: number, Safety: s})
	}
	b.waiting = nil
}

func (c *Collector) newBatch(now time.Time, row Row) *batch {
	c.number++
	b := &batch{number: c.number, row: row, born: now}
	c.known[b.number] = b
	return b
}

func without(batches []*batch, gone *batch) []*batch {
	for i, b := range batches {
		if b == gone {
			return append(batches[:i], batches[i+1:]...)
		}
	}
	return batches
}
