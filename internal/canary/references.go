package canary

import "time"

// referenceKey identifies attempts whose delays are comparable. Without a route it covers
// all routes of the service, with a load class those at upstreams with that load.
type referenceKey struct {
	service, route, model string
	measure               Measure
	load                  loadClass
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

// usual returns the usual delay of an attempt at its upstream's load; 0 if it is not known.
func (r references) usual(a *Attempt, m Measure) time.Duration {
	keys := a.referenceKeys(m)
	own, group := r[keys[0]], r[keys[1]]
	if group == nil || group.total < minReferenceDelays {
		return 0
	}
	if own == nil {
		own = &delayHistogram{}
	}
	return time.Duration(pooledMedian(own, group, groupWeight) * r.loadFactor(keys[2], group) * a.work(m) * float64(time.Second))
}

// loadFactor returns the ratio of the delays at a load to those of all loads. The upstreams of a
// trial serve few sessions, and those of the old version all others and each burst.
func (r references) loadFactor(key referenceKey, all *delayHistogram) float64 {
	h := r.nearestLoad(key)
	if h == nil {
		return 1
	}
	return pooledMedian(h, all, 0) / pooledMedian(all, all, 0)
}

// nearestLoad returns the delays of the load class that is nearest to the key's and has enough of
// them, or nil.
func (r references) nearestLoad(key referenceKey) *delayHistogram {
	for distance := range maxLoadClass {
		for _, class := range [...]loadClass{key.load - distance, key.load + distance} {
			if class < 1 || class > maxLoadClass {
				continue
			}
			at := key
			at.load = class
			if h := r[at]; h != nil && h.total >= minReferenceDelays {
				return h
			}
		}
	}
	return nil
}

// referenceKeys returns the attempt's own group, the one of all routes, and the one of all routes
// at its load.
func (a *Attempt) referenceKeys(m Measure) [3]referenceKey {
	return [3]referenceKey{{a.Service, a.Route, a.Model, m, anyLoad}, {a.Service, "", a.Model, m, anyLoad}, {a.Service, "", a.Model, m, classOf(a.Load)}}
}
