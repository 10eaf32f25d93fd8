package confsync

import "time"

// failedAttempt is the start of the last failed attempt to get a more recent proof: by a read
// of the head, or by a call to a peer.
type failedAttempt struct {
	failed   bool
	failedAt time.Duration
}

func (t *failedAttempt) fail(start time.Duration) {
	if !t.failed || start > t.failedAt {
		t.failed, t.failedAt = true, start
	}
}

// pullFailed records a call to a peer that brought no more recent proof. It does not count
// for a reader, which reads the table itself.
func (c *Core) pullFailed(now time.Duration) {
	if !c.isReader(now) {
		c.attempts.fail(c.pulls.sent)
	}
}

// isStale reports whether the latest proof of the table is older than three read intervals.
// This is below the bound, so that a majority can vote for an outage before the first node
// has to refuse work.
func (c *Core) isStale(now time.Duration) bool {
	return c.state.tableAge(now) > 3*c.settings.ReadInterval
}

// seesOutage reports whether this node has failed to get a recent proof of the table.
func (c *Core) seesOutage(now time.Duration) bool {
	return c.isStale(now) && c.rules.isOutage(c.attemptFailed(now))
}

// attemptFailed reports whether a valid attempt failed or has been pending for half a read
// interval.
func (c *Core) attemptFailed(now time.Duration) bool {
	if c.attempts.failed && c.isValidAttempt(c.attempts.failedAt) {
		return true
	}
	// If the table does not respond at all, a read fails only at its timeout, which is too
	// late to vote before the bound.
	for _, r := range c.headReads.inFlight {
		if now-r.at >= c.settings.ReadInterval/2 && c.isValidAttempt(r.at) {
			return true
		}
	}
	return false
}

// isValidAttempt reports whether an attempt counts: it started when the latest proof was old,
// after the last stall and after the start of the last successful read.
func (c *Core) isValidAttempt(began time.Duration) bool {
	if began < c.stalls.stalledAt || c.headReads.proved && began <= c.headReads.provedAt {
		return false
	}
	return !c.state.table.Valid || began-c.state.table.At > c.settings.ReadInterval
}
