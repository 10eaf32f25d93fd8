package crashguard

import "time"

// TableClock converts between this node's clock and that of the table.
type TableClock struct {
	// Origin is the time of this node at which the table's clock showed 0.
	Origin time.Time
}

func (c TableClock) toTable(at time.Time) int64 { return at.Sub(c.Origin).Milliseconds() }

// toLocal returns the time of this node for a time of the table. A time in the future is of another
// clock and counts as now; ok is false for one that is too old to count.
func (c TableClock) toLocal(ms int64, now time.Time) (at time.Time, ok bool) {
	current := c.toTable(now)
	switch {
	case ms < 0 || current-ms > convictionTTL.Milliseconds():
		return time.Time{}, false
	case ms > current:
		return now, true
	}
	return now.Add(-time.Duration(current-ms) * time.Millisecond), true
}
