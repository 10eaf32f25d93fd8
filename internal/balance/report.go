package balance

import (
	"math"
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// reportHalfLife is the age at which half of a report's difference from the
// pool's mean is taken as gone.
const reportHalfLife = 3 * time.Second

// report is an upstream's load as it last gave it.
type report struct {
	have bool
	// at is the moment that the report describes.
	at      time.Duration
	total   float64
	running int
	queued  int
	own     int // in flight from this node when it came
	// others is what did not come from this node.
	others others
	limit  float64
}

func (r *report) take(l upstream.LoadReport, own int, at time.Duration) {
	r.have = true
	r.at = at
	r.total = float64(l.Running + l.Queued)
	r.running = l.Running
	r.queued = l.Queued
	r.own = min(own, l.Running+l.Queued)
	r.others.take(float64(max(0, l.Running+l.Queued-own)), at)
	r.limit = float64(l.Limit)
}

// fullness is the report taken at its word.
func (r *report) fullness() float64 {
	if r.limit > 0 {
		return r.total / r.limit
	}
	return r.total
}

// weight is the part of the report that still counts, from 1 down to 0.
func (r *report) weight(now, maxAge time.Duration) float64 {
	age := now - r.at
	if !r.have || age >= maxAge {
		return 0
	}
	return math.Exp2(-float64(age) / float64(reportHalfLife))
}
