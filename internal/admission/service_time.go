package admission

import "time"

// serviceSampleWeight is the weight of a new sample; about twenty samples count.
const serviceSampleWeight = 0.05

// serviceTime is a moving mean of how long requests run, per unit of cost.
type serviceTime struct {
	seconds float64
	samples int
}

func (s *serviceTime) add(d time.Duration, cost float64) {
	s.samples++
	weight := max(serviceSampleWeight, 1/float64(s.samples))
	s.seconds += weight * (d.Seconds()/cost - s.seconds)
}

// estimate returns the expected time of a request of the given cost; 0 when there are no
// samples.
func (s *serviceTime) estimate(cost float64) time.Duration {
	return time.Duration(s.seconds * cost * float64(time.Second))
}
