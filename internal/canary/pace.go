package canary

import "time"

// delayKey identifies answers that are expected to take about the same time.
type delayKey struct{ route, model string }

// delayMean is the moving average of the old version's delays.
type delayMean struct {
	mean  float64 // seconds
	count int
}

const (
	// delayWeight is the weight of a new answer in the average.
	delayWeight = 0.1
	// minDelays is how many answers the average needs before it is used.
	minDelays = 8
)

func (p *delayMean) add(d time.Duration) {
	p.count++
	weight := max(delayWeight, 1/float64(p.count))
	p.mean += weight * (d.Seconds() - p.mean)
}

// slow reports whether a delay is far above the average.
func (p *delayMean) slow(d time.Duration) bool {
	return p.count >= minDelays && d > minSlowDelay && d.Seconds() > slowFactor*p.mean
}
