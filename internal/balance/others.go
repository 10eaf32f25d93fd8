package balance

import (
	"math"
	"time"
)

// othersReach is how far back the mean of the others' load reaches.
const othersReach = 5 * time.Second

// others is the load of an upstream that did not come from this node, by its
// reports.
//
// It guards against taking a sample for a state. Of the requests that a report
// counted, those that are shorter than its age have ended, and what it says
// beyond the mean of the reports was chance: a node that believes it until the
// next one floods one upstream and leaves another idle. It shows as free places
// beside a queue. So the difference between the newest report and the mean
// counts as long as requests last: with long ones the newest report says all,
// with short ones the mean does.
type others struct {
	newest float64
	mean   float64
	at     time.Duration // of the newest report
	have   bool
}

func (o *others) take(load float64, at time.Duration) {
	w := 1.0
	if o.have {
		w = 1 - math.Exp(-float64(at-o.at)/float64(othersReach))
	}
	o.newest = load
	o.mean += w * (load - o.mean)
	o.at = at
	o.have = true
}

// load is what is there now, when requests last for hold; a hold of 0 is not
// known, and the newest report says all.
func (o *others) load(now, hold time.Duration) float64 {
	if hold <= 0 {
		return o.newest
	}
	lasting := 1 - float64(now-o.at)/float64(hold)
	return o.mean + max(0, min(1, lasting))*(o.newest-o.mean)
}
