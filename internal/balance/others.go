package balance

import (
	"math"
	"time"
)

// otherLoadWindow is the time constant of the moving mean of the other load.
const otherLoadWindow = 5 * time.Second

// otherLoad estimates, from load reports, the load of an upstream that did not come from
// this node.
//
// A report is a sample. Requests shorter than the report's age have ended since, and the
// report's deviation from the mean was chance. A node that trusts one report until the
// next floods one upstream and leaves another idle: slots are free beside a queue.
// Therefore the deviation of the newest report decays over the typical request duration.
// With long requests the newest report decides, with short ones the mean does.
type otherLoad struct {
	newest      float64
	mean        float64
	at          time.Duration // of the newest report
	initialised bool
}

func (o *otherLoad) add(load float64, at time.Duration) {
	weight := 1.0
	if o.initialised {
		weight = 1 - math.Exp(-float64(at-o.at)/float64(otherLoadWindow))
	}
	o.newest = load
	o.mean += weight * (load - o.mean)
	o.at = at
	o.initialised = true
}

// estimate returns the load now for requests of the given duration. Without a known
// duration (0) it returns the newest report.
func (o *otherLoad) estimate(now, requestDuration time.Duration) float64 {
	if requestDuration <= 0 {
		return o.newest
	}
	remaining := 1 - float64(now-o.at)/float64(requestDuration)
	return o.mean + max(0, min(1, remaining))*(o.newest-o.mean)
}
