package canary

import "time"

// paceKey names answers that take about the same time.
type paceKey struct{ route, model string }

// pace is the usual delay of the old version's answers.
type pace struct {
	mean  float64 // seconds
	count int
}

const (
	// paceWeight is the weight of a new answer in the mean.
	paceWeight = 0.1
	// paceLeast is how many answers a mean needs before it is used.
	paceLeast = 8
)

func (p *pace) add(d time.Duration) {
	p.count++
	w := max(paceWeight, 1/float64(p.count))
	p.mean += w * (d.Seconds() - p.mean)
}

// slow tells whether a delay is far beyond the usual.
func (p *pace) slow(d time.Duration) bool {
	return p.count >= paceLeast && d > slowLeast && d.Seconds() > slowTimes*p.mean
}
