package frontier

import (
	"cmp"
	"slices"
)

const (
	// maxFallbacks is the number of versions that may be second in a cascade. The second
	// version handles the requests that the first could not, so it is one of the best;
	// without this bound the number of cascades grows with the square of the number of
	// versions.
	maxFallbacks = 4
	// maxSlopeVariance bounds the uncertainty of a version's rating curve for the version
	// to be first in a cascade. Until answers rated twice have shown how informative a
	// rating is, a cascade might pay for two answers without benefit.
	maxSlopeVariance = 0.15 * 0.15
	// explorationSDs is the number of standard deviations by which an option's quality is
	// raised; if it then exceeds the frontier, the option is explored.
	explorationSDs = 1.5
)

// Builder builds frontiers. It reuses its buffers and is not safe for concurrent use.
type Builder struct {
	// Confidence is the number of standard deviations by which estimates are lowered; a
	// value of 1 is met with a probability of 84 %.
	Confidence float64
	// Enough is the number of ratings from which an option is no longer explored.
	Enough float64

	points      []Point
	acceptances []acceptance
	fallbacks   []int
}

// Build returns the frontier over the options, with or without cascades.
func (b *Builder) Build(options []Option, cascades bool) *Frontier {
	b.points = b.points[:0]
	for i := range options {
		b.points = append(b.points, b.single(&options[i]))
	}
	if cascades {
		b.addCascades(options)
	}
	f := &Frontier{points: hull(b.points)}
	b.markForExploration(f, options)
	return f
}

func (b *Builder) single(o *Option) Point {
	e := &o.Estimate
	return Point{First: o.Version, Cost: o.Cost, Quality: e.Mean - b.Confidence*e.SD, Mean: e.Mean}
}

func (b *Builder) addCascades(options []Option) {
	thenLists := make([][]string, 0, maxFallbacks)
	for _, next := range b.pickFallbacks(options) {
		thenLists = append(thenLists, []string{options[next].Version})
	}
	for i := range options {
		if options[i].Estimate.Curve.SlopeVariance > maxSlopeVariance {
			continue
		}
		b.acceptances = acceptancesByThreshold(&options[i].Estimate, b.acceptances[:0])
		for rank, next := range b.fallbacks {
			if options[i].Cost < options[next].Cost {
				b.addPair(&options[i], &options[next], thenLists[rank])
			}
		}
	}
}

func (b *Builder) addPair(first, next *Option, then []string) {
	for _, a := range b.acceptances {
		b.points = append(b.points, cascadePoint(first, next, then, a, b.Confidence))
	}
}

// pickFallbacks returns the indices of the options with the best quality as fallbacks.
func (b *Builder) pickFallbacks(options []Option) []int {
	b.fallbacks = b.fallbacks[:0]
	for i := range options {
		b.fallbacks = append(b.fallbacks, i)
	}
	slices.SortStableFunc(b.fallbacks, func(i, j int) int {
		return cmp.Compare(options[j].Estimate.Fallback.Level, options[i].Estimate.Fallback.Level)
	})
	b.fallbacks = b.fallbacks[:min(len(b.fallbacks), maxFallbacks)]
	return b.fallbacks
}

func (b *Builder) markForExploration(f *Frontier, options []Option) {
	for _, o := range options {
		e := &o.Estimate
		if e.Weight < b.Enough && e.Mean+explorationSDs*e.SD > f.qualityAt(o.Cost) {
			f.explore = append(f.explore, o)
		}
	}
}
