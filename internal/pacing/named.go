package pacing

import "time"

const (
	// namedOver times a named rate, and namedSlack, are what may arrive at its upstream
	// within any namedWindow.
	namedOver   = 1.5
	namedSlack  = 5
	namedWindow = 4 * time.Second
	// leastNamed is the rate in requests a second at which an upstream is asked that takes
	// none: only an answer tells that it takes some again.
	leastNamed = 0.25
)

// Named is the bound of an upstream that names a rate limit in requests a second.
func Named(perSecond float64) Bound {
	most := namedOver*perSecond*namedWindow.Seconds() + namedSlack
	return Bound{Rate: max(perSecond, leastNamed), Most: most, Window: namedWindow}
}
