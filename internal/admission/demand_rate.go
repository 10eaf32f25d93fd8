package admission

import (
	"math"
	"time"
)

// demandHalfLife smooths the rate of requests offered.
const demandHalfLife = time.Second

// demandRate is an exponentially smoothed rate of events.
type demandRate struct {
	perSecond float64
	last      time.Duration
}

func (d *demandRate) decay(now time.Duration) {
	if now <= d.last {
		return
	}
	d.perSecond *= math.Exp2(-float64(now-d.last) / float64(demandHalfLife))
	d.last = now
}

// add counts one event.
func (d *demandRate) add(now time.Duration) {
	d.decay(now)
	d.perSecond += math.Ln2 / demandHalfLife.Seconds()
}
