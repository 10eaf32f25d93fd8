package balance

import "time"

// durationDecay is the factor by which each new sample reduces the earlier sums; about
// twenty samples count.
const durationDecay = 0.95

// durationMean is a moving mean of how long this node's requests run at an upstream. Each
// request is weighted by its duration, because the requests that a load report counts at
// one moment are weighted so too.
type durationMean struct {
	sum     float64 // seconds
	squares float64 // seconds squared
}

func (h *durationMean) add(d time.Duration) {
	seconds := d.Seconds()
	h.sum = durationDecay*h.sum + seconds
	h.squares = durationDecay*h.squares + seconds*seconds
}

// weightedMean returns 0 when there are no samples.
func (h *durationMean) weightedMean() time.Duration {
	if h.sum <= 0 {
		return 0
	}
	return time.Duration(h.squares / h.sum * float64(time.Second))
}
