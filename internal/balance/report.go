package balance

import (
	"math"
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// reportHalfLife is the age at which a report has half its weight against the pool's
// mean.
const reportHalfLife = 3 * time.Second

// report is the last load report of an upstream.
type report struct {
	received bool
	// at is the time that the report describes.
	at          time.Duration
	total       float64
	running     int
	queued      int
	ownInFlight int // in flight from this node when the report came
	// otherLoad is the load that did not come from this node.
	otherLoad otherLoad
	limit     float64
}

func (r *report) update(load upstream.LoadReport, ownInFlight int, at time.Duration) {
	r.received = true
	r.at = at
	r.total = float64(load.Running + load.Queued)
	r.running = load.Running
	r.queued = load.Queued
	r.ownInFlight = min(ownInFlight, load.Running+load.Queued)
	r.otherLoad.add(float64(max(0, load.Running+load.Queued-ownInFlight)), at)
	r.limit = float64(load.Limit)
}

// utilisation returns the reported load over the batch size, without a correction for its
// age.
func (r *report) utilisation() float64 {
	if r.limit > 0 {
		return r.total / r.limit
	}
	return r.total
}

// weight returns how much the report counts at its age, from 1 down to 0 at maxAge.
func (r *report) weight(now, maxAge time.Duration) float64 {
	age := now - r.at
	if !r.received || age >= maxAge {
		return 0
	}
	return math.Exp2(-float64(age) / float64(reportHalfLife))
}
