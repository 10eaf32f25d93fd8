package crashguard

import (
	"slices"
	"time"
)

// moments returns the number of separate moments of some strikes of a key, and the time of the
// first.
func (g *Guard) moments(e *entry, set crashSet) (count int, first time.Time) {
	var last time.Time
	for _, slot := range g.order {
		if !set.has(slot) {
			continue
		}
		at := g.crashes[slot].at
		if count == 0 {
			first = at
		}
		if count == 0 || e.sequels.has(slot) || at.Sub(last) >= momentGap {
			count++
			last = at
		}
	}
	return count, first
}

// sortCrashes sorts the slots of all crashes by time, and finds the losses among them.
func (g *Guard) sortCrashes() {
	g.order = g.order[:0]
	for slot, c := range g.crashes {
		if !c.at.IsZero() {
			g.order = append(g.order, slot)
		}
	}
	slices.SortFunc(g.order, func(a, b int) int { return g.crashes[a].at.Compare(g.crashes[b].at) })
	g.losses = crashSet{}
	for i := range len(g.order) - lossSize + 1 {
		group := g.order[i : i+lossSize]
		if g.crashes[group[lossSize-1]].at.Sub(g.crashes[group[0]].at) < lossWindow {
			for _, slot := range group {
				g.losses.add(slot)
			}
		}
	}
}
