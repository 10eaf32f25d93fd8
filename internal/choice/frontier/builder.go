package frontier

import (
	"cmp"
	"slices"
)

const (
	// rescuers is how many of the best versions may be the second in a
	// cascade. The second answers what the first could not, so it is one of
	// the best; without the bound the ways grow with the square of versions.
	rescuers = 4
	// mostSlopeVariance is how uncertain the worth of a version's ratings may
	// be for it to be the first in a cascade. Before pairs have shown what a
	// rating is worth, a cascade would pay for two answers on mere belief.
	mostSlopeVariance = 0.15 * 0.15
	// optimism is by how many standard deviations an option must be able to
	// beat the frontier to be explored.
	optimism = 1.5
)

// Builder builds frontiers and keeps its working memory between them.
type Builder struct {
	// Confidence is how many standard deviations the estimates are lowered
	// by; 1 is met with 84 % confidence.
	Confidence float64
	// Enough is the number of ratings from which an option needs no
	// exploring.
	Enough float64

	points   []Point
	accepted []accepted
	best     []int
}

// Build returns the frontier over the options, with or without cascades.
func (b *Builder) Build(options []Option, cascades bool) *Frontier {
	b.points = b.points[:0]
	for i := range options {
		b.points = append(b.points, b.direct(&options[i]))
	}
	if cascades {
		b.cascades(options)
	}
	f := &Frontier{points: hull(b.points)}
	b.explore(f, options)
	return f
}

func (b *Builder) direct(o *Option) Point {
	e := &o.Estimate
	return Point{First: o.Version, Cost: o.Cost, Quality: e.Mean - b.Confidence*e.SD, Mean: e.Mean}
}

func (b *Builder) cascades(options []Option) {
	then := make([][]string, 0, rescuers)
	for _, next := range b.rescuers(options) {
		then = append(then, []string{options[next].Version})
	}
	for i := range options {
		if options[i].Estimate.Curve.SlopeVariance > mostSlopeVariance {
			continue
		}
		b.accepted = thresholds(&options[i].Estimate, b.accepted[:0])
		for rank, next := range b.best {
			if options[i].Cost < options[next].Cost {
				b.pair(&options[i], &options[next], then[rank])
			}
		}
	}
}

func (b *Builder) pair(first, next *Option, then []string) {
	for _, a := range b.accepted {
		b.points = append(b.points, cascade(first, next, then, a, b.Confidence))
	}
}

// rescuers picks the options that answer best after another fell short.
func (b *Builder) rescuers(options []Option) []int {
	b.best = b.best[:0]
	for i := range options {
		b.best = append(b.best, i)
	}
	slices.SortStableFunc(b.best, func(i, j int) int {
		return cmp.Compare(options[j].Estimate.Rescue.Level, options[i].Estimate.Rescue.Level)
	})
	b.best = b.best[:min(len(b.best), rescuers)]
	return b.best
}

func (b *Builder) explore(f *Frontier, options []Option) {
	for _, o := range options {
		e := &o.Estimate
		if e.Weight < b.Enough && e.Mean+optimism*e.SD > f.qualityAt(o.Cost) {
			f.explore = append(f.explore, o)
		}
	}
}
