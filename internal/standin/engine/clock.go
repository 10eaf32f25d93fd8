package engine

import "time"

// clock counts the time that the engine has lived. It stands still while the
// engine is frozen.
type clock struct {
	base   time.Time
	lost   time.Duration
	frozen bool
	since  time.Duration
}

func newClock() clock { return clock{base: time.Now()} }

func (c *clock) now() time.Duration {
	if c.frozen {
		return c.since
	}
	return time.Since(c.base) - c.lost
}

func (c *clock) freeze() {
	c.since = c.now()
	c.frozen = true
}

func (c *clock) thaw() {
	if !c.frozen {
		return
	}
	c.frozen = false
	c.lost = time.Since(c.base) - c.since
}
