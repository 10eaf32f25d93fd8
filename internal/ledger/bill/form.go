package bill

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// form makes a batch of the open bills of a bucket. While the table is fit,
// what is left of an outage goes along: otherwise the backlog, at one row for
// each write, would never shrink under load.
func (c *Collector) form(now time.Time, bucket key.Bucket) *batch {
	waiting, bills := c.takeOpen(bucket)
	var rest joined
	if c.table.fit() {
		rest = c.join(c.take(bucket, c.settings.MaxBatch-len(bills)))
	}
	b := c.pack(now, bucket, append(bills, rest.bills...))
	b.waiting = waiting
	b.pieces = rest.pieces
	c.active = append(c.active, b)
	return b
}

func (c *Collector) takeOpen(bucket key.Bucket) (waiting []uint64, bills []Bill) {
	left := c.open[:0]
	for _, w := range c.open {
		if w.bucket != bucket || len(bills) >= c.settings.MaxBatch {
			left = append(left, w)
			continue
		}
		waiting = append(waiting, w.number)
		bills = append(bills, w.bill)
	}
	clear(c.open[len(left):])
	c.open = left
	if len(left) == 0 {
		c.open = nil // a burst's room is not kept
	}
	return waiting, bills
}

// merge joins a batch of the backlog with others, unless the table is down:
// then one probe is enough, and the row stays the one that peers hold.
func (c *Collector) merge(now time.Time, first *batch) *batch {
	if c.table.down() {
		return first
	}
	taken := c.take(first.row.Bucket, max(c.settings.MaxBatch, first.row.Bills.Len()))
	if len(taken) == 1 {
		c.backlog = append(c.backlog, first)
		return first
	}
	all := c.join(taken)
	b := c.pack(now, first.row.Bucket, all.bills)
	b.pieces = all.pieces
	b.held = all.held
	c.rest(b)
	return b
}

func (c *Collector) pack(now time.Time, bucket key.Bucket, bills []Bill) *batch {
	c.seq++
	return c.newBatch(now, Row{Bucket: bucket, Writer: c.settings.Writer, Seq: c.seq, Bills: Pack(bills)})
}

// take takes batches out of the backlog, the oldest first, until there is no
// room for more bills.
func (c *Collector) take(bucket key.Bucket, room int) []*batch {
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

// joined is what several batches add up to.
type joined struct {
	bills  []Bill
	pieces []Piece
	held   bool
}

// join ends batches, to make one of them. Their pieces go along and are
// dropped when the new row is stored. The old rows may still be written by
// their holders; their bills have the same keys.
func (c *Collector) join(batches []*batch) joined {
	all := joined{held: true}
	for _, b := range batches {
		bills, err := b.row.Bills.Unpack()
		if err != nil {
			panic(err) // checked when the row came in
		}
		all.bills = append(all.bills, bills...)
		all.pieces = append(all.pieces, b.pieces...)
		all.held = all.held && b.held
		delete(c.known, b.number)
	}
	return all
}
