package bill

import "time"

// tick is how often a collector with bills in memory checks its time limits.
const tick = 20 * time.Millisecond

// Ready returns the calls to make now, and the replies since the last call of Ready.
func (c *Collector) Ready(now time.Time) CollectorReady {
	var r CollectorReady
	c.table.checkInFlight(now)
	c.objects.checkInFlight(now)
	for c.writePace.Allowed(now) && c.send(now, &r) {
		c.writePace.Sent(now)
	}
	c.formForPeers(now)
	c.askPeers(now, &r)
	c.giveUp(now)
	r.Refresh = c.refresh(now)
	r.Replies, c.replies = c.replies, nil
	r.Drop, c.drops = c.drops, nil
	r.Wake = c.nextWake(now)
	return r
}

// noHealthyStore reports whether bills should not wait for either store.
func (c *Collector) noHealthyStore() bool { return !c.table.healthy() && !c.objects.healthy() }

// send requests one write and reports whether there was one. Active batches to retry
// come first, then new bills, then the backlog. New bills lose little by that, since all
// that wait go into one batch.
func (c *Collector) send(now time.Time, r *CollectorReady) bool {
	for _, b := range c.active {
		if c.write(now, b, r) {
			return true
		}
	}
	if len(c.unbatched) > 0 && c.canStart(now) {
		return c.write(now, c.formBatch(now), r)
	}
	for _, b := range c.backlog {
		if b.idle() {
			return c.write(now, c.mergeBacklog(now, b), r)
		}
	}
	return false
}

// canStart reports whether a store that bills should wait for can take a new batch.
func (c *Collector) canStart(now time.Time) bool {
	if c.table.healthy() {
		return c.table.usable(now, &c.objects)
	}
	return c.objects.healthy() && c.objects.usable(now, &c.table)
}

// formForPeers makes a batch for peers while no store is healthy. It does not wait for
// the gap between writes to stores, which failures have widened by then.
func (c *Collector) formForPeers(now time.Time) {
	if c.noHealthyStore() && len(c.unbatched) > 0 && c.holdPace.Allowed(now) && len(c.active) < c.settings.MaxInFlight {
		c.formBatch(now)
		c.holdPace.Sent(now)
	}
}

// write requests a write of the batch to the first store that can take it now, and
// reports whether there is one.
func (c *Collector) write(now time.Time, b *batch, r *CollectorReady) bool {
	if b.table.canStart(now) && c.table.usable(now, &c.objects) {
		b.table.start(now)
		c.table.recordSent(now)
		r.Table = append(r.Table, Write{b.number, b.row, now})
		return true
	}
	if b.objects.canStart(now) && c.pastTableGrace(now, b) && c.objects.usable(now, &c.table) {
		b.objects.start(now)
		c.objects.recordSent(now)
		r.Objects = append(r.Objects, Write{b.number, b.row, now})
		return true
	}
	return false
}

// pastTableGrace reports whether the object store may be tried as well as the table.
func (c *Collector) pastTableGrace(now time.Time, b *batch) bool {
	return !c.table.healthy() || now.Sub(b.createdAt) > c.settings.TableGrace
}

// askPeers requests that peers hold the rows that no store takes.
func (c *Collector) askPeers(now time.Time, r *CollectorReady) {
	for _, b := range c.active {
		c.askPeer(now, b, r)
	}
	for _, b := range c.backlog {
		c.askPeer(now, b, r)
	}
}

func (c *Collector) askPeer(now time.Time, b *batch, r *CollectorReady) {
	needed := c.noHealthyStore() || now.Sub(b.createdAt) > c.settings.ObjectGrace
	if b.held || !needed || !b.hold.canStart(now) {
		return
	}
	b.hold.start(now)
	r.Hold = append(r.Hold, Write{b.number, b.row, now})
}

// giveUp replies Unsafe for bills that were not stored or held in time. They stay in
// memory and are stored once a store is available: their work ran, so they must be
// billed. Offered bills stay with the collector that offered them.
func (c *Collector) giveUp(now time.Time) {
	for i := len(c.active) - 1; i >= 0; i-- {
		b := c.active[i]
		if now.Sub(b.createdAt) <= c.settings.GiveUp {
			continue
		}
		c.replyUnsafe(b, c.describe(now, b))
		if b.offered {
			c.forget(b)
			continue
		}
		b.gaveUp = true
		c.moveToBacklog(b)
	}
}

func (c *Collector) nextWake(now time.Time) time.Time {
	switch {
	case len(c.active) > 0:
		return now.Add(tick)
	case len(c.unbatched) > 0 && c.noHealthyStore():
		return notBeforeTick(now, c.holdPace.Next())
	case len(c.unbatched) > 0:
		return notBeforeTick(now, c.writePace.Next())
	case len(c.backlog) > 0:
		return now.Add(max(tick, c.settings.Probe/4))
	default:
		return time.Time{}
	}
}

// notBeforeTick returns next, or the next tick if that is not in the future. Otherwise
// a collector that may write but cannot would be woken in a busy loop.
func notBeforeTick(now, next time.Time) time.Time {
	if next.After(now) {
		return next
	}
	return now.Add(tick)
}
