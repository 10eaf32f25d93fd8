package admission

import (
	"math"
	"time"
)

// smoothedHalfLife is the half-life of earlier values in a smoothed count.
const smoothedHalfLife = 3 * time.Second

// smoothedCount is a count smoothed exponentially over time.
type smoothedCount struct {
	value     float64
	updatedAt time.Duration
}

// update returns the smoothed count at now, where the count was n since the last call.
func (s *smoothedCount) update(now time.Duration, n int) float64 {
	if now > s.updatedAt {
		keep := math.Exp2(-float64(now-s.updatedAt) / float64(smoothedHalfLife))
		s.value = float64(n) + keep*(s.value-float64(n))
		s.updatedAt = now
	}
	return s.value
}
