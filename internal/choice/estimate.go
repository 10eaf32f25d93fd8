package choice

import (
	"math"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/detect"
	"github.com/hickorybank/hickorybank/internal/choice/frontier"
	"github.com/hickorybank/hickorybank/internal/choice/quality"
	"github.com/hickorybank/hickorybank/internal/config"
)

const (
	// priorInput and priorOutput are the tokens of an answer before any was observed, and
	// priorAnswers the number of answers that this prior counts for. Only the ratio of
	// the two affects choices.
	priorInput   = 1000.0
	priorOutput  = 300.0
	priorAnswers = 4.0
	// minReferenceRatings is the number of ratings from which a version is tested against
	// its own distribution of scores. A staged version is tested from its first rating
	// on, against the configured prior.
	minReferenceRatings = 30.0
	// durationSDs is the number of standard deviations above the mean that bounds a
	// duration.
	durationSDs = 2.0
)

// estimate returns the estimate of a version for a class, cached in the view.
func (c *Chooser) estimate(version *config.Version, class string, now time.Time) *versionEstimate {
	key := quality.Key{Version: version.Name, Class: class}
	if k, ok := c.view.estimates[key]; ok {
		return k
	}
	cell := c.cell(key, now)
	e := cell.Estimate(version.PriorQuality)
	k := &versionEstimate{
		option:       frontier.Option{Version: version.Name, Cost: c.cost(version, class, cell, now), Estimate: e},
		duration:     durationBound(cell),
		pairs:        cell.Pairs.Count,
		fallbacks:    cell.Rescue.Weight,
		cell:         cell,
		hasReference: e.Weight >= minReferenceRatings || version.State == config.Staged,
	}
	c.view.estimates[key] = k
	return k
}

// testTable returns the evidence table for all answers or, with afterShort, for fallback
// answers. It is nil while the reference has too few ratings.
func (k *versionEstimate) testTable(afterShort bool) *detect.Table {
	if afterShort {
		if k.fallbackTable == nil && k.fallbacks >= minReferenceRatings {
			k.fallbackTable = detect.NewTable(k.cell.Rescue.Shares(), k.fallbacks)
		}
		return k.fallbackTable
	}
	if k.table == nil && k.hasReference {
		e := &k.option.Estimate
		k.table = detect.NewTable(e.Scores, max(e.Weight, minReferenceRatings))
	}
	return k.table
}

func durationBound(cell quality.Cell) time.Duration {
	seconds := cell.Took.Mean() + durationSDs*math.Sqrt(cell.Took.Variance())
	return time.Duration(seconds * float64(time.Second))
}

// cost returns the expected cost of an answer, in micro-units of currency. The input
// length is estimated per class, since it does not depend on the version; the output
// length is estimated per version.
func (c *Chooser) cost(version *config.Version, class string, cell quality.Cell, now time.Time) float64 {
	tokens := c.tokensOfClass(class, now)
	input := (tokens.Input + priorInput*priorAnswers) / (tokens.Took.Weight + priorAnswers)
	output := (tokens.Output + priorOutput*priorAnswers) / (tokens.Took.Weight + priorAnswers)
	output = (cell.Output + output*priorAnswers) / (cell.Took.Weight + priorAnswers)
	return (input*float64(version.InputCost) + output*float64(version.OutputCost)) / 1000
}

// tokensOfClass returns the sums of answers and tokens over all versions of a class.
func (c *Chooser) tokensOfClass(class string, now time.Time) quality.Cell {
	if t, ok := c.view.tokens[class]; ok {
		return t
	}
	var total quality.Cell
	for _, v := range c.view.versions {
		cell := c.cell(quality.Key{Version: v.config.Name, Class: class}, now)
		total.Took.Weight += cell.Took.Weight
		total.Input += cell.Input
		total.Output += cell.Output
	}
	c.view.tokens[class] = total
	return total
}
