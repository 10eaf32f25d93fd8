package choice

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/frontier"
)

// planMix plans with the cheapest mix of strategies whose expected quality meets the
// target.
func (c *decision) planMix() Plan {
	c.allowWaiting()
	f := c.frontier(c.keyFor(c.mayCascade()), c.req.Now)
	if p, ok := c.explore(f); ok {
		return p
	}
	orgTarget := c.req.Org.Target(c.req.Class.Name)
	target := c.balance().nextTarget(orgTarget)
	point := f.At(target, c.draws.next())
	if len(point.Then) > 0 && !c.fitsSlack(point) {
		f = c.frontier(c.keyFor(false), c.req.Now)
		point = f.At(target, c.draws.next())
	}
	p := Plan{First: point.First, Then: point.Then, Threshold: point.Threshold}
	p.BelowTarget = f.Best().Mean < orgTarget
	if len(p.Then) == 0 {
		p.Rate, p.RateAgain = c.sampleRating(c.version(point.First))
	} else {
		p.Rate = c.sampleFallback(p.Then[0])
		p.RateAgain = c.sampleSecondRating(c.version(point.First))
	}
	return p
}

// allowWaiting lets a request wait for a version at capacity when all versions with
// capacity would miss the target: busy engines should make answers late, not bad.
func (c *decision) allowWaiting() {
	if c.usable == c.withWaiting {
		return
	}
	orgTarget := c.req.Org.Target(c.req.Class.Name)
	if c.frontier(c.keyFor(c.mayCascade()), c.req.Now).Best().Quality < orgTarget {
		c.usable = c.withWaiting
	}
}

func (c *decision) keyFor(cascades bool) frontierKey {
	return frontierKey{class: c.req.Class.Name, versions: c.usable, cascades: cascades}
}

func (c *decision) version(name string) *versionView { return &c.view.versions[c.view.index[name]] }

// mayCascade reports whether cascades are allowed and their answers can be rated.
func (c *decision) mayCascade() bool {
	return c.req.Class.Cascade && c.req.Snapshot.Preset().Cascades && !c.ratingService.down()
}

// fitsSlack reports whether both answers of a cascade and the rating between them fit
// into the time left.
func (c *decision) fitsSlack(p *frontier.Point) bool {
	first := c.durationBound(p.First)
	then := c.durationBound(p.Then[0])
	return first+then+c.ratingService.durationBound() <= c.req.Slack
}

// durationBound returns an upper bound on the duration of an answer; if no answer was
// observed, it is a quarter of the class's deadline.
func (c *decision) durationBound(version string) time.Duration {
	k := c.estimate(c.version(version).config, c.req.Class.Name, c.req.Now)
	if k.duration == 0 {
		return time.Duration(c.req.Class.DeadlineMillis) * time.Millisecond / 4
	}
	return k.duration
}
