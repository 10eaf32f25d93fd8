package bill

import (
	"fmt"
	"time"
)

// AtRisk reports whether this collector would probably not make a further bill safe in time: it
// has a row at risk. It turns true before the bills of such a row are reported as [Unsafe], and
// false once each is stored, held or taken by another collector: rows in memory are tried again
// until they are.
func (c *Collector) AtRisk(now time.Time) bool {
	for _, b := range c.batches {
		if c.isAtRisk(now, b) {
			return true
		}
	}
	return false
}

// RowsAtRisk returns rows at risk, for another collector, the oldest first. There are no more
// than needed for a number of bills, and none that another collector has offered: it keeps them.
func (c *Collector) RowsAtRisk(now time.Time, bills int) []Write {
	var rows []Write
	for _, batches := range [][]*batch{c.backlog, c.active} {
		for _, b := range batches {
			if bills > 0 && !b.offered && c.isAtRisk(now, b) {
				rows = append(rows, Write{b.number, b.row, now})
				bills -= b.row.Bills.Len()
			}
		}
	}
	return rows
}

// isAtRisk reports whether the bills of a batch are unsafe, or half of their time has passed,
// both stores fail and too few peers took a copy.
func (c *Collector) isAtRisk(now time.Time, b *batch) bool {
	if b.held {
		return false
	}
	lacksCopies := b.copies != notAsked && b.copies < c.settings.Copies
	return b.gaveUp || lacksCopies && now.Sub(b.createdAt) >= c.settings.GiveUp/2 && c.StoresFail(now)
}

// StoresFail reports whether neither store can be expected to take a row before its bills are
// reported as unsafe.
func (c *Collector) StoresFail(now time.Time) bool {
	limit := c.settings.GiveUp / 2
	return c.table.fails(now, limit) && c.objects.fails(now, limit)
}

// Taken records that another collector has made the bills of a row safe, and where. The row
// stays in memory until a store of this node takes it: by its writes this node learns that a
// store is back.
func (c *Collector) Taken(w Write, s Safety) {
	b := c.batches[w.Batch]
	if b == nil {
		return
	}
	b.held = true
	b.taken = true
	b.gaveUp = false
	c.reply(b, s)
	c.moveToBacklog(b)
}

// describe describes what became of a batch's calls, for logs.
func (c *Collector) describe(now time.Time, b *batch) string {
	return fmt.Sprintf("table %s, objects %s, %s after %v", b.table.describe(&c.table, now), b.objects.describe(&c.objects, now),
		b.describeHold(c.settings.Copies), now.Sub(b.createdAt).Round(time.Millisecond))
}

// describe describes the last call of a batch to a store.
func (o *callState) describe(h *storeHealth, now time.Time) string {
	switch {
	case o.inFlight:
		return fmt.Sprintf("unanswered for %v", now.Sub(o.sent).Round(time.Millisecond))
	case o.nextTry.IsZero():
		return "not tried"
	default:
		return fmt.Sprintf("failed (%d failures in a row)", h.failures)
	}
}

func (b *batch) describeHold(needed int) string {
	switch {
	case b.copies != notAsked:
		return fmt.Sprintf("%d of %d copies at peers", b.copies, needed)
	case b.hold.inFlight:
		return "peers asked for copies"
	default:
		return "no peer asked for a copy"
	}
}
