package admission

import "time"

// serviceWeight is the part of each new sample; some twenty count.
const serviceWeight = 0.05

// serviceTime estimates how long a request of one kind runs in one pool.
type serviceTime struct {
	seconds float64
	n       int
}

func (s *serviceTime) add(d time.Duration, cost float64) {
	s.n++
	weight := max(serviceWeight, 1/float64(s.n))
	s.seconds += weight * (d.Seconds()/cost - s.seconds)
}

// of is the estimate for a request of that cost; 0 when nothing is known.
func (s *serviceTime) of(cost float64) time.Duration {
	return time.Duration(s.seconds * cost * float64(time.Second))
}
