package confsync

import "time"

// trying is when the last try for a younger proof began that had none: a read
// of the head, or a call to a peer, which had none either.
type trying struct {
	failed   bool
	failedAt time.Duration
}

func (t *trying) fail(began time.Duration) {
	if !t.failed || began > t.failedAt {
		t.failed, t.failedAt = true, began
	}
}

// pullFailed notes a call to a peer that brought no younger proof. A reader
// tries the table itself.
func (c *Core) pullFailed(now time.Duration) {
	if !c.isReader(now) {
		c.trying.fail(c.pulling.sent)
	}
}

// isStale says that the youngest proof of the table is older than three reads
// take. It is below the bound, so that a majority can say that it sees an
// outage before the first node has to refuse work.
func (c *Core) isStale(now time.Duration) bool {
	return c.known.tableAge(now) > 3*c.settings.ReadGap
}

// seesOutage says that this node could get no proof of the table.
func (c *Core) seesOutage(now time.Duration) bool {
	return c.isStale(now) && c.rules.sawOutage(c.triedInVain(now))
}

// triedInVain says whether a try brought no proof that began when the proof
// was old, after the last stall and after the last read that was answered.
func (c *Core) triedInVain(now time.Duration) bool {
	if c.trying.failed && c.isLateTry(c.trying.failedAt) {
		return true
	}
	// A table that gives no answer at all fails a read only at its timeout,
	// which is too late to vote before the bound.
	for _, r := range c.reading.sent {
		if now-r.at >= c.settings.ReadGap/2 && c.isLateTry(r.at) {
			return true
		}
	}
	return false
}

func (c *Core) isLateTry(began time.Duration) bool {
	if began < c.waking.stalledAt || c.reading.proved && began <= c.reading.provedAt {
		return false
	}
	return !c.known.table.Valid || began-c.known.table.At > c.settings.ReadGap
}
