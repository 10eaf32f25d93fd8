package confsync

import "time"

const (
	// stallGap is the time between two steps after which the timers of calls
	// under way say nothing: their answers may lie in a buffer.
	stallGap = 4 * tickGap
	// wakeGap is the time between two steps after which what this node knows
	// of the fleet may be too old to count a majority by.
	wakeGap = 20 * tickGap
)

// waking notices that this process stood still. The shell steps the core at
// least with each tick, so that a longer gap means that nothing ran.
type waking struct {
	last time.Duration
	// stalledAt is the end of the last gap above stallGap.
	stalledAt time.Duration
}

// noteStep looks at the gap since the step before, ahead of the event: the
// first event after a pause may be one that lay in a buffer.
func (c *Core) noteStep(now time.Duration) {
	gap := now - c.waking.last
	c.waking.last = now
	if gap > stallGap {
		c.waking.stalledAt = now
	}
	if c.rules.woke(gap) {
		c.listing.distrust(now)
	}
}
