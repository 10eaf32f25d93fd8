package choice

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/detect"
	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// Observe takes in a rating.
func (c *Chooser) Observe(o Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ratings.succeeded(o.Took)
	if c.view != nil {
		c.refresh(c.view.snapshot, o.Now)
	}
	s := c.state(o.Version)
	s.sawClass(o.Class)
	s.rated = o.Now
	c.test(s, o)
	c.note(o)
}

// note takes the score into the estimates.
func (c *Chooser) note(o Observation) {
	key := quality.Key{Version: o.Version, Class: o.Class}
	cell := c.book.Cell(key)
	c.stamps.mark(key, c.run())
	now := o.Now.UnixNano()
	if o.AfterShort {
		cell.AddRescue(o.Score, c.short(o), now)
	} else {
		cell.AddScore(o.Score, now)
	}
	if o.HasAgain && !o.AfterShort {
		cell.AddPair(o.Score, o.Again, now)
	}
}

// typicalShort is by how much a rating that fell short is below its version's
// mean when it is not known.
const typicalShort = -0.2

// short is by how much the rating that fell short was above its version's mean.
func (c *Chooser) short(o Observation) float64 {
	if o.After == "" || c.view == nil {
		return typicalShort
	}
	i, ok := c.view.index[o.After]
	if !ok {
		return typicalShort
	}
	k := c.known(c.view.versions[i].config, o.Class, o.Now)
	return o.AfterScore - k.option.Estimate.Mean
}

// test takes in what the score says about a bad turn. Answers that followed
// one that fell short are to harder requests, so they are compared with their
// like; a version may run nothing else.
func (c *Chooser) test(s *state, o Observation) {
	if c.view == nil {
		return
	}
	i, ok := c.view.index[o.Version]
	if !ok {
		return
	}
	k := c.known(c.view.versions[i].config, o.Class, o.Now)
	table := k.evidence(o.AfterShort)
	if table == nil {
		return
	}
	s.add(table.Evidence(o.Score))
	c.judge(s, o.Class, o.Now)
}

// ObserveAnswer takes in that an attempt was answered.
func (c *Chooser) ObserveAnswer(a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(a.Version)
	s.sawClass(a.Class)
	key := quality.Key{Version: a.Version, Class: a.Class}
	cell, news := c.book.AnswerCell(key)
	if news {
		c.stamps.mark(key, c.run())
	}
	cell.AddAnswer(a.Took, a.InputTokens, a.OutputTokens, a.Now.UnixNano())
	s.add(detect.Evidence{Errors: detect.AnswerEvidence})
}

// ObserveError takes in that an engine said that the version failed: not a
// refusal, a cancel, a lost connection or a crash, which are the upstream's
// and would come from all of its requests at once.
func (c *Chooser) ObserveError(version, class string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(version)
	s.add(detect.Evidence{Errors: detect.ErrorEvidence})
	c.judge(s, class, now)
}

// ObserveRatingFailure takes in that the rating service did not answer.
func (c *Chooser) ObserveRatingFailure(time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ratings.failed()
}
