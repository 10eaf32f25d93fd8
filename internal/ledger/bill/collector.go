package bill

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/fate"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/ledger/pace"
)

// Collector stores bills durably. It packs them into rows and writes these to the
// table, or to the object store while the table is down. While both are down, peers in
// other failure domains hold copies until a store takes the rows. Several collectors may
// have the same bill: written twice under one key, it still counts once.
type Collector struct {
	settings  CollectorSettings
	writePace *pace.Pace // writes to stores
	holdPace  *pace.Pace // new rows that only peers hold
	table     storeHealth
	objects   storeHealth

	unbatched []waitingBill     // not yet in a batch
	active    []*batch          // callers wait for them
	backlog   []*batch          // no caller waits for them, but no store has them yet
	batches   map[uint64]*batch // active and backlog, by number
	lastBatch uint64            // number of the last batch
	lastSeq   uint64            // sequence number of the last row
	billCount int               // in memory

	nextRefresh time.Time
	replies     []Reply
	drops       []HeldRow
}

// retryGap is the minimum time before a row is written again.
const retryGap = 50 * time.Millisecond

// notAsked is the number of copies of a row that no peer has been asked to hold.
const notAsked = -1

// waitingBill is a bill that is not yet in a batch.
type waitingBill struct {
	number  uint64
	bucket  key.Bucket
	offered bool
	bill    Bill
}

// NewCollector returns an empty collector.
func NewCollector(s CollectorSettings) *Collector {
	c := &Collector{
		settings:  s,
		writePace: pace.New(s.MinGap, s.MaxGap),
		holdPace:  pace.New(s.MinGap, s.MinGap),
		table:     storeHealth{grace: s.TableGrace, probe: s.Probe, maxInFlight: s.MaxInFlight},
		objects:   storeHealth{grace: s.TableGrace, probe: s.Probe, maxInFlight: s.MaxInFlight},
		batches:   map[uint64]*batch{},
	}
	c.writePace.SetBurst(s.Burst)
	return c
}

// Add adds a bill under a number that the caller chooses. A later Ready returns the
// reply.
func (c *Collector) Add(number uint64, b Bill) { c.add(number, b, false) }

// AddOffered adds a bill that another collector keeps until this one has made it safe. If it
// is reported as [Unsafe], it is forgotten here.
func (c *Collector) AddOffered(number uint64, b Bill) { c.add(number, b, true) }

func (c *Collector) add(number uint64, b Bill, offered bool) {
	if c.billCount >= c.settings.MaxWaiting {
		c.replies = append(c.replies, Reply{Number: number, Safety: Unsafe, Tried: "none: memory is full"})
		return
	}
	c.billCount++
	c.unbatched = append(c.unbatched, waitingBill{number, c.settings.Layout.Bill(b.Key, b.At), offered, b})
}

// Adopt takes over a row whose owner is lost. The row keeps its writer and sequence
// number. Several holders may take it over, and a paused owner may resume, and then all
// of them write the same row and hold the same copies. With new names, the number of
// copies would grow with each loss.
func (c *Collector) Adopt(now time.Time, row Row) {
	b := c.newBatch(now, row)
	b.adopted = true
	c.moveToBacklog(b)
	c.billCount += row.Bills.Len()
}

// Waiting returns the number of bills in memory.
func (c *Collector) Waiting() int { return c.billCount }

// Unstored returns the number of bills that must be secured before the process can
// stop. Its own bills must be in a store or taken by another collector. Bills taken over must
// be in a store or have CollectorSettings.Copies copies at peers.
func (c *Collector) Unstored() int {
	left := c.billCount
	for _, b := range c.backlog {
		if b.held && (b.adopted || b.taken) {
			left -= b.row.Bills.Len()
		}
	}
	return left
}

// Full reports whether a further bill would be unsafe because MaxWaiting is reached.
func (c *Collector) Full() bool { return c.billCount >= c.settings.MaxWaiting }

// SetGap changes the minimum time between two writes and the burst of writes that is
// allowed after idle time.
func (c *Collector) SetGap(gap time.Duration, burst int) {
	c.writePace.SetMinGap(gap)
	c.writePace.SetBurst(burst)
	c.holdPace.SetMinGap(gap)
}

// TableDone processes the result of a write to the table.
func (c *Collector) TableDone(now time.Time, w Write, f fate.Fate) {
	stored := c.recordWrite(now, w, &c.table, f)
	if b := c.batches[w.Batch]; b != nil {
		c.storeDone(now, b, &b.table, stored, InTable)
	}
}

// ObjectDone processes the result of a put to the object store.
func (c *Collector) ObjectDone(now time.Time, w Write, f fate.Fate) {
	stored := c.recordWrite(now, w, &c.objects, f)
	if b := c.batches[w.Batch]; b != nil {
		c.storeDone(now, b, &b.objects, stored, InObjects)
	}
}

// recordWrite updates the health of a store and the pace after a write, and reports
// whether the row is stored. It also does so for a batch that no longer exists because
// another store was faster.
func (c *Collector) recordWrite(now time.Time, w Write, h *storeHealth, f fate.Fate) bool {
	stored := h.recordResult(now, w.sent, f)
	switch {
	case stored:
		c.writePace.Succeeded()
	case f == fate.Refused && !h.down():
		c.writePace.Failed(now) // the platform's rate limit may be reached
	}
	return stored
}

func (c *Collector) storeDone(now time.Time, b *batch, o *callState, stored bool, s Safety) {
	o.inFlight = false
	if stored {
		c.finish(b, s)
		return
	}
	o.nextTry = now.Add(max(c.writePace.Gap(), retryGap))
}

// finish ends a batch that is stored.
func (c *Collector) finish(b *batch, s Safety) {
	c.reply(b, s)
	c.forget(b)
}

// forget removes a batch from memory and releases its copies at peers.
func (c *Collector) forget(b *batch) {
	c.drops = append(c.drops, b.heldRows...)
	c.billCount -= b.row.Bills.Len()
	delete(c.batches, b.number)
	c.active = removeBatch(c.active, b)
	c.backlog = removeBatch(c.backlog, b)
}

func (c *Collector) reply(b *batch, s Safety) {
	for _, number := range b.waiting {
		c.replies = append(c.replies, Reply{Number: number, Safety: s})
	}
	b.waiting = nil
}

// replyUnsafe replies that the bills of a batch are not safe, and what was tried.
func (c *Collector) replyUnsafe(b *batch, tried string) {
	for _, number := range b.waiting {
		c.replies = append(c.replies, Reply{Number: number, Safety: Unsafe, Tried: tried})
	}
	b.waiting = nil
}

func (c *Collector) newBatch(now time.Time, row Row) *batch {
	c.lastBatch++
	b := &batch{number: c.lastBatch, row: row, createdAt: now, copies: notAsked}
	c.batches[b.number] = b
	return b
}

func removeBatch(batches []*batch, gone *batch) []*batch {
	for i, b := range batches {
		if b == gone {
			return append(batches[:i], batches[i+1:]...)
		}
	}
	return batches
}
