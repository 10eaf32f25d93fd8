package bill

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// formBatch makes a batch of the waiting bills of a bucket, offered or not like the first
// waiting bill. While the table is healthy, it adds bills of the backlog, if any: written
// separately, with one write per row, the backlog would never shrink under load.
func (c *Collector) formBatch(now time.Time) *batch {
	bucket, offered := c.unbatched[0].bucket, c.unbatched[0].offered
	waiting, bills := c.takeOpen(bucket, offered)
	var backlog mergedBatches
	if c.table.healthy() && !offered {
		backlog = c.mergeBatches(c.takeBacklog(bucket, c.settings.MaxBatch-len(bills)))
	}
	b := c.packBatch(now, bucket, append(bills, backlog.bills...))
	b.waiting = waiting
	b.offered = offered
	b.gaveUp = backlog.gaveUp
	b.heldRows = backlog.heldRows
	c.active = append(c.active, b)
	return b
}

func (c *Collector) takeOpen(bucket key.Bucket, offered bool) (waiting []uint64, bills []Bill) {
	left := c.unbatched[:0]
	for _, w := range c.unbatched {
		if w.bucket != bucket || w.offered != offered || len(bills) >= c.settings.MaxBatch {
			left = append(left, w)
			continue
		}
		waiting = append(waiting, w.number)
		bills = append(bills, w.bill)
	}
	clear(c.unbatched[len(left):])
	c.unbatched = left
	if len(left) == 0 {
		c.unbatched = nil // release the memory of a burst
	}
	return waiting, bills
}

// mergeBacklog merges a batch of the backlog with others of its bucket. While the table
// is down it returns the batch itself: the write is only a probe, and peers already hold
// its row.
func (c *Collector) mergeBacklog(now time.Time, first *batch) *batch {
	if c.table.down() {
		return first
	}
	taken := c.takeBacklog(first.row.Bucket, max(c.settings.MaxBatch, first.row.Bills.Len()))
	if len(taken) == 1 {
		c.backlog = append(c.backlog, first)
		return first
	}
	all := c.mergeBatches(taken)
	b := c.packBatch(now, first.row.Bucket, all.bills)
	b.heldRows = all.heldRows
	b.held = all.held
	b.taken = all.taken
	b.gaveUp = all.gaveUp
	c.moveToBacklog(b)
	return b
}

func (c *Collector) packBatch(now time.Time, bucket key.Bucket, bills []Bill) *batch {
	c.lastSeq++
	return c.newBatch(now, Row{Bucket: bucket, Writer: c.settings.Writer, Seq: c.lastSeq, Bills: Pack(bills)})
}

// takeBacklog removes idle batches of a bucket from the backlog, oldest first, up to a
// number of bills.
func (c *Collector) takeBacklog(bucket key.Bucket, room int) []*batch {
	kept := c.backlog[:0]
	var taken []*batch
	for _, b := range c.backlog {
		if b.row.Bucket != bucket || !b.idle() || b.row.Bills.Len() > room {
			kept = append(kept, b)
			continue
		}
		room -= b.row.Bills.Len()
		taken = append(taken, b)
	}
	clear(c.backlog[len(kept):])
	c.backlog = kept
	return taken
}

// mergedBatches is the content of several batches.
type mergedBatches struct {
	bills    []Bill
	heldRows []HeldRow
	held     bool
	taken    bool
	gaveUp   bool // of any of them
}

// mergeBatches ends batches and returns their content, for a new batch. The new batch
// takes over their held rows, which are dropped when the new row is stored. Holders may
// still write the old rows; that does no harm, as the bills have the same keys.
func (c *Collector) mergeBatches(batches []*batch) mergedBatches {
	all := mergedBatches{held: true, taken: true}
	for _, b := range batches {
		bills, err := b.row.Bills.Unpack()
		if err != nil {
			panic(err) // the row was checked when it was received
		}
		all.bills = append(all.bills, bills...)
		all.heldRows = append(all.heldRows, b.heldRows...)
		all.held = all.held && b.held
		all.taken = all.taken && b.taken
		all.gaveUp = all.gaveUp || b.gaveUp
		delete(c.batches, b.number)
	}
	return all
}
