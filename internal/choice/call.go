package choice

import (
	"github.com/hickorybank/hickorybank/internal/config"
)

const (
	// throttleThreshold is the statistic, in nats, from which a version gets only
	// throttledShare of its requests.
	throttleThreshold = 4.0
	throttledShare    = 0.25
)

// decision is the state of one call to Choose.
type decision struct {
	*Chooser
	req   Request
	draws draws
	// usable are the versions to plan with, as a set of indices: serving, not held, and
	// with capacity for this request if any version has some.
	usable uint64
	// withWaiting are the usable versions and those for which this request would have to
	// wait.
	withWaiting uint64
	// leastBad is the held version with the highest expected quality; nil when none is
	// held.
	leastBad *versionView
}

func newDecision(c *Chooser, req Request) decision {
	return decision{Chooser: c, req: req, draws: draws{state: req.Random}}
}

func (c *decision) plan() Plan {
	if len(c.req.Versions) == 0 {
		return Plan{Refusal: RefuseNoVersion}
	}
	if c.req.Pinned {
		return c.pinned()
	}
	exposed := c.classify()
	if exposed != nil {
		return c.expose(exposed)
	}
	if c.usable == 0 {
		return c.leastBadPlan()
	}
	return c.planMix()
}

// classify sorts the versions into sets and returns the staged one that is due to be
// exposed, if any.
func (c *decision) classify() *versionView {
	var exposed *versionView
	var usable, throttled capacitySets
	for at, name := range c.req.Versions {
		i, ok := c.view.index[name]
		if !ok || i >= maxPlannedVersions {
			continue
		}
		v := &c.view.versions[i]
		switch {
		case v.state.held():
			c.leastBad = c.higherQuality(c.leastBad, v)
		case v.config.State == config.Staged:
			if c.capacity(at).Engines > 0 && c.dueForExposure(v) {
				exposed = v
			}
		case !c.throttle(v.state):
			usable.add(i, c.capacity(at), c.overflowDraw(at))
		default:
			throttled.add(i, c.capacity(at), c.overflowDraw(at))
		}
	}
	if usable.loaded == 0 && throttled.loaded != 0 || usable.all == 0 {
		usable = throttled
	}
	c.usable = usable.best()
	c.withWaiting = c.usable | usable.loaded
	return exposed
}

// overflowDraw returns a random number that decides whether a version with capacity for a
// share of its requests takes this one. A version with capacity for all needs no draw.
func (c *decision) overflowDraw(at int) float64 {
	if c.capacity(at).Share >= 1 {
		return 0
	}
	return c.draws.next()
}

// throttle reports whether a suspect version is left out of this request. It gets few
// requests until ratings clear it or it is held: further answers would run before the
// ratings of earlier ones arrive, and might all be bad.
func (c *decision) throttle(s *versionState) bool {
	return s.statistic() >= throttleThreshold && c.draws.next() >= throttledShare
}

// higherQuality returns the version with the higher expected quality.
func (c *decision) higherQuality(a, b *versionView) *versionView {
	if a == nil || c.expectedQuality(b) > c.expectedQuality(a) {
		return b
	}
	return a
}

func (c *decision) expectedQuality(v *versionView) float64 {
	return c.estimate(v.config, c.req.Class.Name, c.req.Now).option.Estimate.Mean
}

// leastBadPlan is used when no serving version is usable. If all are held, the one with
// the highest expected quality continues to serve the class.
func (c *decision) leastBadPlan() Plan {
	if c.leastBad == nil {
		return Plan{Refusal: RefuseUngranted}
	}
	c.stranded[c.req.Class.Name] = struct{}{}
	p := Plan{First: c.leastBad.config.Name, AllHeld: true, BelowTarget: true}
	p.Rate = c.sample(c.leastBad.state, false)
	return p
}
