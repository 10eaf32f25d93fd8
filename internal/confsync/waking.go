package confsync

import "time"

const (
	// stallThreshold is the time between two steps above which timeouts of running calls prove
	// nothing: their responses may be buffered.
	stallThreshold = 4 * tickInterval
	// longStallThreshold is the time between two steps above which this node's list may be
	// too old to count a majority by.
	longStallThreshold = 20 * tickInterval
)

// stallDetector detects that this process was paused. The [Syncer] steps the core at least with
// each tick, so that a longer gap means that nothing ran.
type stallDetector struct {
	lastStep time.Duration
	// stalledAt is the end of the last gap above stallThreshold.
	stalledAt time.Duration
}

// detectStall checks the time since the previous step, before the event is handled: the first
// event after a pause may have been buffered.
func (c *Core) detectStall(now time.Duration) {
	gap := now - c.stalls.lastStep
	c.stalls.lastStep = now
	if gap > stallThreshold {
		c.stalls.stalledAt = now
	}
	if c.rules.stalledLong(gap) {
		c.list.resetSpan(now)
	}
}
