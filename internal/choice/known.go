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
	// priorInput and priorOutput are an answer's tokens before any was seen,
	// and priorAnswers how many answers that belief is worth. Only their
	// ratio matters for choosing.
	priorInput   = 1000.0
	priorOutput  = 300.0
	priorAnswers = 4.0
	// referenceRatings is how many ratings a version needs before it is
	// tested against what it used to reach. A staged one is tested against
	// the operators' belief from its first rating on.
	referenceRatings = 30.0
	// surely is how many standard deviations above the mean a duration is
	// taken to be at most.
	surely = 2.0
)

// known returns what is known of a version for a class, as the view has it.
func (c *Chooser) known(version *config.Version, class string, now time.Time) *known {
	key := quality.Key{Version: version.Name, Class: class}
	if k, ok := c.view.known[key]; ok {
		return k
	}
	cell := c.cell(key, now)
	e := cell.Estimate(version.PriorQuality)
	k := &known{
		option:  frontier.Option{Version: version.Name, Cost: c.cost(version, class, cell, now), Estimate: e},
		took:    took(cell),
		pairs:   cell.Pairs.Count,
		rescues: cell.Rescue.Weight,
		cell:    cell,
		tested:  e.Weight >= referenceRatings || version.State == config.Staged,
	}
	c.view.known[key] = k
	return k
}

// evidence returns the table of the tests for all answers, or for those that
// followed one that fell short; nil while its reference is too thin.
func (k *known) evidence(afterShort bool) *detect.Table {
	if afterShort {
		if k.rescueTable == nil && k.rescues >= referenceRatings {
			k.rescueTable = detect.NewTable(k.cell.Rescue.Shares(), k.rescues)
		}
		return k.rescueTable
	}
	if k.table == nil && k.tested {
		e := &k.option.Estimate
		k.table = detect.NewTable(e.Scores, max(e.Weight, referenceRatings))
	}
	return k.table
}

func took(cell quality.Cell) time.Duration {
	seconds := cell.Took.Mean() + surely*math.Sqrt(cell.Took.Variance())
	return time.Duration(seconds * float64(time.Second))
}

// cost returns the expected cost of an answer, in micro-units of currency.
// Input is the class's, whichever version runs; what a version says is its own.
func (c *Chooser) cost(version *config.Version, class string, cell quality.Cell, now time.Time) float64 {
	all := c.classTokens(class, now)
	input := (all.Input + priorInput*priorAnswers) / (all.Took.Weight + priorAnswers)
	output := (all.Output + priorOutput*priorAnswers) / (all.Took.Weight + priorAnswers)
	output = (cell.Output + output*priorAnswers) / (cell.Took.Weight + priorAnswers)
	return (input*float64(version.InputCost) + output*float64(version.OutputCost)) / 1000
}

func (c *Chooser) classTokens(class string, now time.Time) quality.Cell {
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
