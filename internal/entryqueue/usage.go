package entryqueue

import (
	"math"
	"slices"
	"time"
)

// usage is an organisation's use of the node.
type usage struct {
	running, waiting int
	// recent decays with usageWindow; it counts the requests offered.
	recent float64
	asOf   time.Time
}

func (u *usage) decay(now time.Time) {
	if d := now.Sub(u.asOf); d > 0 {
		u.recent *= math.Exp(-float64(d) / float64(usageWindow))
		u.asOf = now
	}
}

// excess returns how far the organisation is over the fair share, in doublings; 0 within it.
// Steps keep urgency ahead of small differences where all ask for more than their share.
func (u *usage) excess(share float64) int {
	if u.recent <= share {
		return 0
	}
	return 1 + int(math.Round(math.Log2(u.recent/share)))
}

// idle reports whether the organisation has left no trace; the node then forgets it.
func (u *usage) idle() bool { return u.running+u.waiting == 0 && u.recent < 0.05 }

// fairShare returns the max-min fair share of total among demands: no demand above it gets
// more, and what smaller demands leave is divided among the larger ones. It sorts demands.
func fairShare(demands []float64, total float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		share := total / float64(len(demands)-i)
		if d > share {
			return share
		}
		total -= d
	}
	return math.Inf(1)
}
