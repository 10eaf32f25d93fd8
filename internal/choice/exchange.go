package choice

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/exposure"
	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// Summary returns what this node has seen of some versions, or of all when
// none is named, for its peers.
func (c *Chooser) Summary(versions ...string) Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.summary(versions, func(quality.Key) bool { return true })
}

func (c *Chooser) summary(versions []string, include func(quality.Key) bool) Summary {
	sum := Summary{Summary: c.book.Summary(func(key quality.Key) bool {
		return (len(versions) == 0 || slices.Contains(versions, key.Version)) && include(key)
	})}
	for _, s := range c.sorted() {
		if len(versions) == 0 || slices.Contains(versions, s.name) {
			e := VersionEvidence{Version: s.name, Term: s.hold.Term, Evidence: s.evidence}
			sum.Evidence = append(sum.Evidence, e)
		}
	}
	return sum
}

// Merge takes in a peer's summary. Merging it again, or an older one of the
// same run, changes nothing.
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
		c.state(key.Version).sawClass(key.Class)
		c.stamps.mark(key, sum.Run())
	})
	for _, e := range sum.Evidence {
		s := c.state(e.Version)
		s.merge(sum.Run(), sum.Seq, e)
		c.judge(s, "", now)
	}
}

// Wants returns the staged versions that a grant is to be asked for now.
func (c *Chooser) Wants(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, s := range c.sorted() {
		if s.wanted && !s.held() && !c.ratings.down() && s.purse.Wants(now) {
			s.wanted = false
			s.purse.Asked(now)
			list = append(list, s.name)
		}
	}
	return list
}

// Grant takes in the answer to an asking for a version.
func (c *Chooser) Grant(version string, g exposure.Grant, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(version).purse.Receive(g, now)
}
