package bill

import (
	"slices"
	"time"
)

// HoldDone processes the result of a request to hold a batch's row: the ids of the VMs
// that hold a copy. Each must be in a different failure domain, and none in this one.
func (c *Collector) HoldDone(now time.Time, w Write, holders []string) {
	heldRow := HeldRow{Writer: w.Row.Writer, Seq: w.Row.Seq, Holders: holders}
	b := c.batches[w.Batch]
	if b == nil {
		c.drops = append(c.drops, heldRow)
		return
	}
	b.hold.inFlight = false
	b.copies = len(holders)
	if len(holders) < c.settings.Copies {
		b.hold.nextTry = now.Add(c.settings.Probe)
		return
	}
	// The new copies have all bills of the row, including those of older copies.
	for _, old := range b.heldRows {
		c.drop(old, heldRow)
	}
	b.heldRows = []HeldRow{heldRow}
	b.held = true
	b.gaveUp = false
	b.offered = false // the collector that offered them relies on this one from here on
	c.reply(b, InPeers)
	c.moveToBacklog(b)
}

// drop releases the copies of a row, except those that another held row still needs:
// a row that is held again may have some of the same holders.
func (c *Collector) drop(old, needed HeldRow) {
	var holders []string
	for _, h := range old.Holders {
		if !old.same(needed) || !slices.Contains(needed.Holders, h) {
			holders = append(holders, h)
		}
	}
	if len(holders) > 0 {
		c.drops = append(c.drops, HeldRow{Writer: old.Writer, Seq: old.Seq, Holders: holders})
	}
}

// same reports whether both are the same row.
func (p HeldRow) same(other HeldRow) bool { return p.Writer == other.Writer && p.Seq == other.Seq }

// CopyLost records that a holder no longer has a copy or cannot be reached. The row,
// or the merged row that contains its bills, is then held again as a whole.
func (c *Collector) CopyLost(lost HeldRow) {
	for _, b := range c.backlog {
		for _, p := range b.heldRows {
			if p.same(lost) && !b.taken {
				b.held = false
			}
		}
	}
}

// moveToBacklog moves a batch that no caller waits for any more to the backlog.
func (c *Collector) moveToBacklog(b *batch) {
	if b.inBacklog {
		return
	}
	b.inBacklog = true
	c.active = removeBatch(c.active, b)
	c.backlog = append(c.backlog, b)
}

// refresh returns the rows whose copies are due for a refresh.
func (c *Collector) refresh(now time.Time) []HeldRow {
	if now.Before(c.nextRefresh) {
		return nil
	}
	c.nextRefresh = now.Add(c.settings.Refresh)
	return c.HeldRows()
}

// HeldRows returns all rows that peers hold copies of.
func (c *Collector) HeldRows() []HeldRow {
	var heldRows []HeldRow
	for _, b := range c.active {
		heldRows = append(heldRows, b.heldRows...)
	}
	for _, b := range c.backlog {
		heldRows = append(heldRows, b.heldRows...)
	}
	return heldRows
}
