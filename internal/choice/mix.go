package choice

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/frontier"
)

// mix takes the cheapest mix of ways whose expected quality meets the target.
func (c *call) mix() Plan {
	c.stayAtTarget()
	f := c.frontier(c.key(c.mayCascade()), c.req.Now)
	if p, ok := c.explore(f); ok {
		return p
	}
	wanted := c.req.Org.Target(c.req.Class.Name)
	target := c.balance().aim(wanted)
	point := f.At(target, c.draws.next())
	if len(point.Then) > 0 && !c.inTime(point) {
		f = c.frontier(c.key(false), c.req.Now)
		point = f.At(target, c.draws.next())
	}
	p := Plan{First: point.First, Then: point.Then, Threshold: point.Threshold}
	p.BelowTarget = f.Best().Mean < wanted
	if len(p.Then) == 0 {
		p.Rate, p.RateAgain = c.rate(c.version(point.First))
	} else {
		p.Rate = c.rateRescue(p.Then[0])
		p.RateAgain = c.again(c.version(point.First))
	}
	return p
}

// stayAtTarget lets a request wait for a version that is full when all that
// have room would miss the target: full engines make answers late, not bad.
func (c *call) stayAtTarget() {
	if c.usable == c.waiting {
		return
	}
	wanted := c.req.Org.Target(c.req.Class.Name)
	if c.frontier(c.key(c.mayCascade()), c.req.Now).Best().Quality < wanted {
		c.usable = c.waiting
	}
}

func (c *call) key(cascades bool) planKey {
	return planKey{class: c.req.Class.Name, versions: c.usable, cascades: cascades}
}

func (c *call) version(name string) *versionView { return &c.view.versions[c.view.index[name]] }

// mayCascade says that a rated first try is allowed and can be rated.
func (c *call) mayCascade() bool {
	return c.req.Class.Cascade && c.req.Snapshot.Preset().Cascades && !c.ratings.down()
}

// inTime says that both versions of a cascade and the rating between them fit
// into the time that is left.
func (c *call) inTime(p *frontier.Point) bool {
	first := c.took(p.First)
	then := c.took(p.Then[0])
	return first+then+c.ratings.took() <= c.req.Slack
}

// took is how long an answer takes at most; unknown it is a quarter of the
// class's deadline.
func (c *call) took(version string) time.Duration {
	k := c.known(c.version(version).config, c.req.Class.Name, c.req.Now)
	if k.took == 0 {
		return time.Duration(c.req.Class.DeadlineMillis) * time.Millisecond / 4
	}
	return k.took
}
