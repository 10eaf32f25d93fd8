package choice

import (
	"github.com/hickorybank/hickorybank/internal/config"
)

const (
	// caution is the statistic from which a version gets only cautionShare
	// of its requests, in nats.
	caution      = 4.0
	cautionShare = 0.25
)

// call is one choosing under way.
type call struct {
	*Chooser
	req   Request
	draws draws
	// usable are the versions to plan with, by their index: serving, not
	// held, and with room for this request as far as there is any.
	usable uint64
	// waiting are usable and those that this request would have to wait for.
	waiting uint64
	// least is the held version that is the least bad; nil when none is held.
	least *versionView
}

func newCall(c *Chooser, req Request) call {
	return call{Chooser: c, req: req, draws: draws{state: req.Random}}
}

func (c *call) plan() Plan {
	if len(c.req.Versions) == 0 {
		return Plan{Refusal: RefuseNoVersion}
	}
	if c.req.Pinned {
		return c.pinned()
	}
	exposed := c.sort()
	if exposed != nil {
		return c.expose(exposed)
	}
	if c.usable == 0 {
		return c.lastResort()
	}
	return c.mix()
}

// sort looks at the versions one by one and returns the staged one that is due
// to be exposed, if any.
func (c *call) sort() *versionView {
	var exposed *versionView
	var usable, spared rooms
	for at, name := range c.req.Versions {
		i, ok := c.view.index[name]
		if !ok || i >= mostVersions {
			continue
		}
		v := &c.view.versions[i]
		switch {
		case v.state.held():
			c.least = c.better(c.least, v)
		case v.config.State == config.Staged:
			if c.room(at).Engines > 0 && c.due(v) {
				exposed = v
			}
		case !c.spared(v.state):
			usable.add(i, c.room(at), c.spill(at))
		default:
			spared.add(i, c.room(at), c.spill(at))
		}
	}
	if usable.loaded == 0 && spared.loaded != 0 || usable.all == 0 {
		usable = spared
	}
	c.usable = usable.best()
	c.waiting = c.usable | usable.loaded
	return exposed
}

// spill draws whether a version that has room for a part of its requests has
// room for this one. A version that has room for all needs no draw.
func (c *call) spill(at int) float64 {
	if c.room(at).Share >= 1 {
		return 0
	}
	return c.draws.next()
}

// spared says that a version under suspicion is left out of this request. It
// gets few until its ratings have cleared it or it is held: answers that are
// begun before their forerunners' ratings have come would only be more bad ones.
func (c *call) spared(s *state) bool {
	return s.suspicion() >= caution && c.draws.next() >= cautionShare
}

// better returns the version with the higher expected quality.
func (c *call) better(a, b *versionView) *versionView {
	if a == nil || c.mean(b) > c.mean(a) {
		return b
	}
	return a
}

func (c *call) mean(v *versionView) float64 {
	return c.known(v.config, c.req.Class.Name, c.req.Now).option.Estimate.Mean
}

// lastResort runs when no serving version may. If all were held, the class
// would have no version left; so the least bad goes on.
func (c *call) lastResort() Plan {
	if c.least == nil {
		return Plan{Refusal: RefuseUngranted}
	}
	c.stranded[c.req.Class.Name] = struct{}{}
	p := Plan{First: c.least.config.Name, AllHeld: true, BelowTarget: true}
	p.Rate = c.sample(c.least.state, false)
	return p
}
