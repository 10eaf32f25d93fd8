package choice

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/detect"
	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// Observe adds a rating to the estimates and the tests.
func (c *Chooser) Observe(o Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ratingService.recordSuccess(o.Took)
	if c.view != nil {
		c.refresh(c.view.snapshot, o.Now)
	}
	s := c.state(o.Version)
	s.addClass(o.Class)
	s.lastRated = o.Now
	c.testScore(s, o)
	c.record(o)
}

// record adds the rating to the estimates.
func (c *Chooser) record(o Observation) {
	key := quality.Key{Version: o.Version, Class: o.Class}
	cell := c.recorder.Cell(key)
	c.stamps.mark(key, c.run())
	now := o.Now.UnixNano()
	if o.IsFallback {
		cell.AddFallback(o.Score, c.rejectedDeviation(o), now)
	} else {
		cell.AddScore(o.Score, now)
	}
	if o.HasAgain && !o.IsFallback {
		cell.AddPair(o.Score, o.Again, now)
	}
}

// typicalDeviation is the assumed deviation of a rejected rating from its version's mean
// when it is not known.
const typicalDeviation = -0.2

// rejectedDeviation returns the rejected rating minus the mean rating of its version.
func (c *Chooser) rejectedDeviation(o Observation) float64 {
	if o.RejectedVersion == "" || c.view == nil {
		return typicalDeviation
	}
	i, ok := c.view.index[o.RejectedVersion]
	if !ok {
		return typicalDeviation
	}
	k := c.estimate(c.view.versions[i].config, o.Class, o.Now)
	return o.RejectedScore - k.option.Estimate.Mean
}

// testScore adds the evidence of a score. Fallback answers belong to harder requests, so
// they are compared only with other fallback answers; a version may run nothing else.
func (c *Chooser) testScore(s *versionState, o Observation) {
	if c.view == nil {
		return
	}
	i, ok := c.view.index[o.Version]
	if !ok {
		return
	}
	k := c.estimate(c.view.versions[i].config, o.Class, o.Now)
	table := k.testTable(o.IsFallback)
	if table == nil {
		return
	}
	s.addEvidence(table.Evidence(o.Score))
	c.holdIfDegraded(s, o.Class, o.Now)
}

// ObserveAnswer records that an attempt was answered.
func (c *Chooser) ObserveAnswer(a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(a.Version)
	s.addClass(a.Class)
	key := quality.Key{Version: a.Version, Class: a.Class}
	cell, changed := c.recorder.AnswerCell(key)
	if changed {
		c.stamps.mark(key, c.run())
	}
	cell.AddAnswer(a.Took, a.InputTokens, a.OutputTokens, a.Now.UnixNano())
	s.addEvidence(detect.Evidence{Errors: detect.AnswerEvidence})
}

// ObserveError records that an engine reported a failure of the version. Refusals,
// cancellations, lost connections and crashes do not count: they are failures of the
// upstream and would affect all of its requests at once.
func (c *Chooser) ObserveError(version, class string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(version)
	s.addEvidence(detect.Evidence{Errors: detect.ErrorEvidence})
	c.holdIfDegraded(s, class, now)
}

// ObserveRatingFailure records that the rating service did not answer.
func (c *Chooser) ObserveRatingFailure(time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ratingService.recordFailure()
}
