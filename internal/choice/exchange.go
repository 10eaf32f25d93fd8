package choice

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/exposure"
	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// Summary returns this node's observations of the named versions for its peers, or of all
// versions when none is named.
func (c *Chooser) Summary(versions ...string) Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.summary(versions, func(quality.Key) bool { return true })
}

func (c *Chooser) summary(versions []string, include func(quality.Key) bool) Summary {
	sum := Summary{Summary: c.recorder.Summary(func(key quality.Key) bool {
		return (len(versions) == 0 || slices.Contains(versions, key.Version)) && include(key)
	})}
	for _, s := range c.sortedStates() {
		if len(versions) == 0 || slices.Contains(versions, s.name) {
			e := VersionEvidence{Version: s.name, Term: s.hold.Term, Evidence: s.evidence}
			sum.Evidence = append(sum.Evidence, e)
		}
	}
	return sum
}

// Merge merges a peer's summary. Merging it again, or an older one of the same run,
// changes nothing.
func (c *Chooser) Merge(sum Summary, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.merge(sum, now)
}

func (c *Chooser) merge(sum Summary, now time.Time) {
	if sum.Run() == c.run() {
		return
	}
	c.store.MergeEach(sum.Summary, func(key quality.Key) {
		c.state(key.Version).addClass(key.Class)
		c.stamps.mark(key, sum.Run())
	})
	for _, e := range sum.Evidence {
		s := c.state(e.Version)
		s.mergeEvidence(sum.Run(), sum.Seq, e)
		c.holdIfDegraded(s, "", now)
	}
}

// GrantsNeeded returns the staged versions for which a grant should be requested now.
func (c *Chooser) GrantsNeeded(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, s := range c.sortedStates() {
		if s.grantWanted && !s.held() && !c.ratingService.down() && s.budget.ShouldRequest(now) {
			s.grantWanted = false
			s.budget.Requested(now)
			list = append(list, s.name)
		}
	}
	return list
}

// ApplyGrant applies the reply to a request for a grant.
func (c *Chooser) ApplyGrant(version string, g exposure.Grant, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(version).budget.Receive(g, now)
}
