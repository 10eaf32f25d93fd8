package engine

import "time"

// clock measures the time since the engine's start. It stops while the engine is
// frozen.
type clock struct {
	start       time.Time
	frozenTotal time.Duration
	frozen      bool
	frozenAt    time.Duration
}

func newClock() clock { return clock{start: time.Now()} }

func (c *clock) now() time.Duration {
	if c.frozen {
		return c.frozenAt
	}
	return time.Since(c.start) - c.frozenTotal
}

func (c *clock) freeze() {
	c.frozenAt = c.now()
	c.frozen = true
}

func (c *clock) thaw() {
	if !c.frozen {
		return
	}
	c.frozen = false
	c.frozenTotal = time.Since(c.start) - c.frozenAt
}
