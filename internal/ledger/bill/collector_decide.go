package bill

import "time"

// tick is how often a collector with something in hand looks at its graces.
const tick = 20 * time.Millisecond

// Ready returns what the collector wants done now.
func (c *Collector) Ready(now time.Time) CollectorReady {
	var r CollectorReady
	c.table.notice(now)
	c.objects.notice(now)
	for c.pace.Free(now) && c.send(now, &r) {
		c.pace.Took(now)
	}
	c.formForPeers(now)
	c.askPeers(now, &r)
	c.giveUp(now)
	r.Refresh = c.refresh(now)
	r.Replies, c.replies = c.replies, nil
	r.Drop, c.drops = c.drops, nil
	r.Wake = c.wake(now)
	return r
}

// unfit says that no store is worth waiting for.
func (c *Collector) unfit() bool { return !c.table.fit() && !c.objects.fit() }

// send sends one write and says whether there was one to send: the oldest
// batch that failed and is waited for, then new bills, then the backlog. New
// bills lose nothing by it: those that wait go together.
func (c *Collector) send(now time.Time, r *CollectorReady) bool {
	for _, b := range c.active {
		if c.write(now, b, r) {
			return true
		}
	}
	if len(c.open) > 0 && c.canStart(now) {
		return c.write(now, c.form(now, c.open[0].bucket), r)
	}
	for _, b := range c.backlog {
		if b.idle() {
			return c.write(now, c.merge(now, b), r)
		}
	}
	return false
}

// canStart says whether a store would take a new batch, and is worth waiting
// for.
func (c *Collector) canStart(now time.Time) bool {
	if c.table.fit() {
		return c.table.usable(now, &c.objects)
	}
	return c.objects.fit() && c.objects.usable(now, &c.table)
}

// formForPeers makes a batch while no store is worth waiting for. It does not
// wait for the gap between writes, which is wide by then.
func (c *Collector) formForPeers(now time.Time) {
	if c.unfit() && len(c.open) > 0 && c.holding.Free(now) && len(c.active) < c.settings.MaxFlights {
		c.form(now, c.open[0].bucket)
		c.holding.Took(now)
	}
}

// write sends the batch to the store that is next for it, if any is.
func (c *Collector) write(now time.Time, b *batch, r *CollectorReady) bool {
	if b.table.free(now) && c.table.usable(now, &c.objects) {
		b.table.begin(now)
		c.table.sent(now)
		r.Table = append(r.Table, Write{b.number, b.row, now})
		return true
	}
	if b.objects.free(now) && c.past(now, b) && c.objects.usable(now, &c.table) {
		b.objects.begin(now)
		c.objects.sent(now)
		r.Objects = append(r.Objects, Write{b.number, b.row, now})
		return true
	}
	return false
}

// past says whether the batch need not wait for the table alone any longer.
func (c *Collector) past(now time.Time, b *batch) bool {
	return !c.table.fit() || now.Sub(b.born) > c.settings.TableGrace
}

// askPeers has peers hold what no store takes.
func (c *Collector) askPeers(now time.Time, r *CollectorReady) {
	for _, b := range c.active {
		c.askPeer(now, b, r)
	}
	for _, b := range c.backlog {
		c.askPeer(now, b, r)
	}
}

func (c *Collector) askPeer(now time.Time, b *batch, r *CollectorReady) {
	needed := c.unfit() || now.Sub(b.born) > c.settings.ObjectGrace
	if b.held || !needed || !b.hold.free(now) {
		return
	}
	b.hold.begin(now)
	r.Hold = append(r.Hold, Write{b.number, b.row, now})
}

// giveUp calls bills unsafe that nobody took in time. They stay in memory, and
// are stored if a store comes back: billing them is right, as their work ran.
func (c *Collector) giveUp(now time.Time) {
	for i := len(c.active) - 1; i >= 0; i-- {
		if b := c.active[i]; now.Sub(b.born) > c.settings.GiveUp {
			c.answer(b, Unsafe)
			c.rest(b)
		}
	}
}

func (c *Collector) wake(now time.Time) time.Time {
	switch {
	case len(c.active) > 0:
		return now.Add(tick)
	case len(c.open) > 0 && c.unfit():
		return orSoon(now, c.holding.Next())
	case len(c.open) > 0:
		return orSoon(now, c.pace.Next())
	case len(c.backlog) > 0:
		return now.Add(max(tick, c.settings.Probe/4))
	default:
		return time.Time{}
	}
}

// orSoon keeps a collector that may write, and still cannot, from being woken
// again and again.
func orSoon(now, next time.Time) time.Time {
	if next.After(now) {
		return next
	}
	return now.Add(tick)
}
