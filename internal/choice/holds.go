package choice

import (
	"maps"
	"slices"
	"time"
)

const (
	// alarm is the statistic from which a version is held, in nats. Of
	// versions as good as their reference each of the three tests of ratings
	// holds one in exp(15.2), four million, ratings at most.
	alarm = 15.2
	// common is the share of the lately rated versions that must look bad
	// at once for the fault to be the rating service's.
	common = 0.5
	// leastCommon is how many versions must be rated lately to judge so.
	leastCommon = 3
	// lately is how long ago a version's last rating may be.
	lately = 10 * time.Minute
)

// judge holds the version when the evidence against it is enough.
func (c *Chooser) judge(s *state, class string, now time.Time) {
	if s.held() {
		return
	}
	switch {
	case max(s.own.Errors(), s.pooled.Errors()) >= alarm:
		c.raise(s, HoldErrors, class, now)
	case max(s.own.Ratings(), s.pooled.Ratings()) >= alarm && !c.raterSuspect(now):
		c.raise(s, HoldRatings, class, now)
	}
}

func (c *Chooser) raise(s *state, reason HoldReason, class string, now time.Time) {
	h := Hold{Version: s.name, Term: s.hold.Term + 1, Node: c.settings.Node, Reason: reason, Class: class, At: now}
	s.begin(h)
	c.raised = append(c.raised, h)
}

// raterSuspect says that most versions look bad at once. Versions turn bad one
// by one; if the rating service goes wrong, all seem to. Without this guard
// that would hold every version that there is.
func (c *Chooser) raterSuspect(now time.Time) bool {
	var rated, bad int
	for _, s := range c.states {
		if now.Sub(s.rated) > lately {
			continue
		}
		rated++
		if s.suspicion() >= alarm/3 || s.held() && s.hold.Reason == HoldRatings && now.Sub(s.hold.At) < lately {
			bad++
		}
	}
	return rated >= leastCommon && float64(bad) > common*float64(rated)
}

// NewHolds returns the holds that this node has raised since the last call, to
// be told to peers and recorded.
func (c *Chooser) NewHolds() []Hold {
	c.mu.Lock()
	defer c.mu.Unlock()
	raised := c.raised
	c.raised = nil
	return raised
}

// ApplyHold takes in a hold, or the lifting of one, from a peer or the table.
// It says whether that was new.
func (c *Chooser) ApplyHold(h Hold) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applyHold(h)
}

func (c *Chooser) applyHold(h Hold) bool {
	s := c.state(h.Version)
	if !h.After(s.hold) {
		return false
	}
	s.begin(h)
	return true
}

// Stranded returns the classes for which, since the last call, every version
// that could serve was held, so that the least bad went on.
func (c *Chooser) Stranded() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := slices.Sorted(maps.Keys(c.stranded))
	clear(c.stranded)
	return list
}

// Suspects returns the versions that this node has evidence against, in the
// order of their names.
func (c *Chooser) Suspects() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, s := range c.sorted() {
		if max(s.own.Ratings(), s.own.Errors()) >= suspect {
			list = append(list, s.name)
		}
	}
	return list
}

// Holds returns the latest hold of each version that ever had one, in the
// order of the versions' names.
func (c *Chooser) Holds() []Hold {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holds()
}

func (c *Chooser) holds() []Hold {
	var list []Hold
	for _, s := range c.sorted() {
		if s.hold.Term > 0 {
			list = append(list, s.hold)
		}
	}
	return list
}
