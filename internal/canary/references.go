package canary

import "time"

// referenceKey identifies attempts whose delays are comparable. Without a route it covers
// all routes of the service.
type referenceKey struct {
	service, route, model string
	measure               Measure
}

// references holds the recent delays of attempts by group, each relative to the attempt's work.
// A delay is compared with the median, so that a part of slow upstreams does not count as
// usual.
type references map[referenceKey]*delayHistogram

const (
	// maxReferences bounds the groups; beyond it all are learned anew.
	maxReferences = 4096
	// minReferenceDelays is how many delays a reference needs before it is used.
	minReferenceDelays = 6
	// groupWeight is the weight, in answers, of all routes' delays against the route's own.
	groupWeight = 4
)

// add records the delay of an attempt.
func (r references) add(a *Attempt, m Measure, delay time.Duration) {
	if len(r) >= maxReferences {
		clear(r)
	}
	sample := delay.Seconds() / a.work(m)
	for _, key := range a.referenceKeys(m) {
		h := r[key]
		if h == nil {
			h = &delayHistogram{}
			r[key] = h
		}
		h.add(sample)
	}
}

// usual returns the usual delay of an attempt; 0 if it is not known.
func (r references) usual(a *Attempt, m Measure) time.Duration {
	keys := a.referenceKeys(m)
	own, group := r[keys[0]], r[keys[1]]
	if group == nil || group.total < minReferenceDelays {
		return 0
	}
	if own == nil {
		own = &delayHistogram{}
	}
	return time.Duration(pooledMedian(own, group, groupWeight) * a.work(m) * float64(time.Second))
}

// referenceKeys returns the attempt's own group and the one of all routes.
func (a *Attempt) referenceKeys(m Measure) [2]referenceKey {
	return [2]referenceKey{{a.Service, a.Route, a.Model, m}, {a.Service, "", a.Model, m}}
}
