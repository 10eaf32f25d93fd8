package admission

import (
	"math"
	"time"
)

// demandHalfLife is the half-life of the smoothed request rate.
const demandHalfLife = time.Second

// demandRate is an exponentially smoothed rate of events.
type demandRate struct {
	perSecond float64
	updatedAt time.Duration
}

func (d *demandRate) decay(now time.Duration) {
	if now <= d.updatedAt {
		return
	}
	d.perSecond *= math.Exp2(-float64(now-d.updatedAt) / float64(demandHalfLife))
	d.updatedAt = now
}

// add counts one event.
func (d *demandRate) add(now time.Duration) {
	d.decay(now)
	d.perSecond += math.Ln2 / demandHalfLife.Seconds()
}
