package crashguard

import "slices"

// next returns the candidate to convict; nil if there is none. Candidates are sorted by their
// margin.
func (g *Guard) next(all []candidate) *candidate {
	for i := range all {
		c := g.deepest(&all[i], all)
		if c.moments >= minMomentsInDoubt || !c.convictedAt.IsZero() || !g.hasRival(c, all) {
			return c
		}
	}
	return nil
}

// deepest returns the candidate that explains the strikes of an outer one, or the outer one itself.
// Prompts may hold the same parts in any order, so the search is bounded.
func (g *Guard) deepest(outer *candidate, all []candidate) *candidate {
	for range maxNesting {
		inner := g.explaining(outer, all)
		if inner == nil {
			break
		}
		outer = inner
	}
	return outer
}

// explaining returns a nested candidate that explains the strikes of an outer one, or the first of
// several that together do; nil if there is none.
func (g *Guard) explaining(outer *candidate, all []candidate) *candidate {
	var first *candidate
	var union crashSet
	for i := range all {
		d := &all[i]
		if d.key == outer.key || !g.nested(d.key, outer.key) {
			continue
		}
		if g.unexplainedBy(outer, &d.unexplained) <= maxUnexplained {
			return d
		}
		if first == nil {
			first = d
		}
		union.merge(&d.unexplained)
	}
	if first != nil && g.explain(outer, &union) {
		return first
	}
	return nil
}

// explain reports whether several nested keys together explain the strikes of an outer one. A
// convicted key stays the cause if it has no answers, or none between crashes and a trial has run:
// its nested keys share its strikes.
func (g *Guard) explain(outer *candidate, nested *crashSet) bool {
	unanswered := outer.doubt == neverAnswered || outer.doubt == answeredBefore && outer.trials > 0
	if unanswered && !outer.convictedAt.IsZero() {
		return false
	}
	if g.unexplainedBy(outer, nested) <= maxUnexplained {
		return true
	}
	left, _ := g.moments(outer.entry, outer.unexplained.without(nested))
	return outer.doubt == answeredBetween && float64(outer.moments-left) >= explainedFraction*float64(outer.moments)
}

// unexplainedBy returns the number of moments of an outer key, less losses, that nested strikes do
// not explain.
func (g *Guard) unexplainedBy(outer *candidate, nested *crashSet) int {
	rest := outer.unexplained.without(nested)
	left, _ := g.moments(outer.entry, rest.without(&g.losses))
	return left
}

// hasRival reports whether another candidate has as many moments, was struck by the same crashes,
// and is neither nested in this one nor contains it.
func (g *Guard) hasRival(c *candidate, all []candidate) bool {
	return slices.ContainsFunc(all, func(r candidate) bool {
		return r.key != c.key && r.margin() >= c.margin() && r.unexplained.common(&c.unexplained) >= rivalCrashes &&
			!g.nested(r.key, c.key) && !g.nested(c.key, r.key)
	})
}

// maxNesting bounds the parents that are followed.
const maxNesting = 32

// nested reports whether a key is nested in an outer one.
func (g *Guard) nested(key, outer Key) bool {
	for range maxNesting {
		e := g.keys[key]
		if e == nil || e.parent == 0 {
			return false
		}
		if key = e.parent; key == outer {
			return true
		}
	}
	return false
}
