package admission

import (
	"math"
	"time"
)

// smoothHalfLife is how fast a smoothed number forgets.
const smoothHalfLife = 3 * time.Second

// smooth is a number smoothed over time.
type smooth struct {
	value float64
	last  time.Duration
}

// at returns the smoothed value at now, the number having been n since the
// last call.
func (s *smooth) at(now time.Duration, n int) float64 {
	if now > s.last {
		keep := math.Exp2(-float64(now-s.last) / float64(smoothHalfLife))
		s.value = float64(n) + keep*(s.value-float64(n))
		s.last = now
	}
	return s.value
}
