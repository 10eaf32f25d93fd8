package gateway

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/crashguard"
)

// maxClockDrift is the fraction by which this node's clock and the table's may drift apart.
const maxClockDrift = 1e-3

// tableClock estimates the offset between this node's clock and the table's own. Of its samples it
// uses that of the quickest call: a slow one leaves open when the table read its clock.
type tableClock struct {
	origin time.Time
	// uncertainty is how far the origin may be off, as of sampledAt.
	uncertainty time.Duration
	sampledAt   time.Time
}

// observe adds a sample: the table's clock as it was returned by a call that began and ended then.
func (c *tableClock) observe(clock time.Duration, began, ended time.Time) {
	half := ended.Sub(began) / 2
	origin := began.Add(half - clock)
	allowed := c.uncertainty + time.Duration(maxClockDrift*float64(ended.Sub(c.sampledAt)))
	// An origin out of all bounds shows that this node's clock stood still or the table's changed.
	contradicts := origin.Sub(c.origin).Abs() > allowed+half
	if c.sampledAt.IsZero() || contradicts || half <= allowed {
		*c = tableClock{origin: origin, uncertainty: half, sampledAt: ended}
	}
}

// forCrashes returns the clock for the record of crashes.
func (c *tableClock) forCrashes() crashguard.TableClock {
	return crashguard.TableClock{Origin: c.origin}
}
