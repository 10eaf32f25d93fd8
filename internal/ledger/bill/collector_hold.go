package bill

import (
	"slices"
	"time"
)

// HoldDone takes the ids of the VMs that hold a copy of a batch's row, each in
// a failure domain of its own and none in this one.
func (c *Collector) HoldDone(now time.Time, w Write, holders []string) {
	piece := Piece{Writer: w.Row.Writer, Seq: w.Row.Seq, Holders: holders}
	b := c.known[w.Batch]
	if b == nil {
		c.drops = append(c.drops, piece)
		return
	}
	b.hold.out = false
	if len(holders) < c.settings.Copies {
		b.hold.again = now.Add(c.settings.Probe)
		return
	}
	// The new piece covers the whole row, with what older pieces hold.
	for _, old := range b.pieces {
		c.drop(old, piece)
	}
	b.pieces = []Piece{piece}
	b.held = true
	c.answer(b, InPeers)
	c.rest(b)
}

// drop gives up a piece, but not the copies that another piece still needs: a
// row that is held anew may have one of its holders again.
func (c *Collector) drop(old, needed Piece) {
	var holders []string
	for _, h := range old.Holders {
		if !old.same(needed) || !slices.Contains(needed.Holders, h) {
			holders = append(holders, h)
		}
	}
	if len(holders) > 0 {
		c.drops = append(c.drops, Piece{Writer: old.Writer, Seq: old.Seq, Holders: holders})
	}
}

// same says whether two pieces are copies of the same row.
func (p Piece) same(other Piece) bool { return p.Writer == other.Writer && p.Seq == other.Seq }

// PieceLost notes that a holder has a piece no more, or cannot be reached.
// With the piece of a merged row, all of the row is held anew.
func (c *Collector) PieceLost(lost Piece) {
	for _, b := range c.backlog {
		for _, p := range b.pieces {
			if p.same(lost) {
				b.held = false
			}
		}
	}
}

// rest moves a batch for which nobody waits any more to the backlog.
func (c *Collector) rest(b *batch) {
	if b.resting {
		return
	}
	b.resting = true
	c.active = without(c.active, b)
	c.backlog = append(c.backlog, b)
}

// refresh returns the pieces whose holders must hear of this process.
func (c *Collector) refresh(now time.Time) []Piece {
	if now.Before(c.refreshAt) {
		return nil
	}
	c.refreshAt = now.Add(c.settings.Refresh)
	return c.Pieces()
}

// Pieces are the copies that peers hold.
func (c *Collector) Pieces() []Piece {
	var pieces []Piece
	for _, b := range c.active {
		pieces = append(pieces, b.pieces...)
	}
	for _, b := range c.backlog {
		pieces = append(pieces, b.pieces...)
	}
	return pieces
}
