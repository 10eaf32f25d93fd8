package choice

import (
	"maps"
	"slices"
	"time"
)

const (
	// holdThreshold is the statistic, in nats, from which a version is held. For versions
	// as good as their reference, each of the three rating tests raises at most one false
	// hold in exp(15.2) ratings, about four million.
	holdThreshold = 15.2
	// raterFaultShare is the share of the recently rated versions that must look degraded
	// at the same time for the rating service to be considered faulty.
	raterFaultShare = 0.5
	// minRecentlyRated is the number of recently rated versions that this rule requires.
	minRecentlyRated = 3
	// recentPeriod is the maximum age of a recent rating or hold.
	recentPeriod = 10 * time.Minute
)

// holdIfDegraded holds the version when the evidence against it suffices.
func (c *Chooser) holdIfDegraded(s *versionState, class string, now time.Time) {
	if s.held() {
		return
	}
	switch {
	case max(s.own.Errors(), s.pooled.Errors()) >= holdThreshold:
		c.raiseHold(s, HoldErrors, class, now)
	case max(s.own.Ratings(), s.pooled.Ratings()) >= holdThreshold && !c.raterFaulty(now):
		c.raiseHold(s, HoldRatings, class, now)
	}
}

func (c *Chooser) raiseHold(s *versionState, reason HoldReason, class string, now time.Time) {
	h := Hold{Version: s.name, Term: s.hold.Term + 1, Node: c.settings.Node, Reason: reason, Class: class, At: now}
	s.startTerm(h)
	c.raised = append(c.raised, h)
}

// raterFaulty reports whether most versions look degraded at the same time. Versions
// degrade one by one; a faulty rating service makes all of them look degraded. Without
// this check such a fault would hold every version.
func (c *Chooser) raterFaulty(now time.Time) bool {
	var rated, degraded int
	for _, s := range c.states {
		if now.Sub(s.lastRated) > recentPeriod {
			continue
		}
		rated++
		if s.statistic() >= holdThreshold/3 || s.held() && s.hold.Reason == HoldRatings && now.Sub(s.hold.At) < recentPeriod {
			degraded++
		}
	}
	return rated >= minRecentlyRated && float64(degraded) > raterFaultShare*float64(rated)
}

// NewHolds returns the holds that this node has raised since the last call, for notifying
// peers and recording.
func (c *Chooser) NewHolds() []Hold {
	c.mu.Lock()
	defer c.mu.Unlock()
	raised := c.raised
	c.raised = nil
	return raised
}

// ApplyHold applies a hold, or its lift, from a peer or the table. It reports whether the
// state changed.
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
	s.startTerm(h)
	return true
}

// Stranded returns the classes for which, since the last call, a request found every
// version held and the one with the highest expected quality was used.
func (c *Chooser) Stranded() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := slices.Sorted(maps.Keys(c.stranded))
	clear(c.stranded)
	return list
}

// Suspects returns the versions that this node has evidence against, in the order of
// their names.
func (c *Chooser) Suspects() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, s := range c.sortedStates() {
		if max(s.own.Ratings(), s.own.Errors()) >= suspectThreshold {
			list = append(list, s.name)
		}
	}
	return list
}

// Holds returns the latest hold of each version that was ever held, in the order of the
// versions' names. Lifted holds are included.
func (c *Chooser) Holds() []Hold {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holds()
}

func (c *Chooser) holds() []Hold {
	var list []Hold
	for _, s := range c.sortedStates() {
		if s.hold.Term > 0 {
			list = append(list, s.hold)
		}
	}
	return list
}
