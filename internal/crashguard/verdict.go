package crashguard

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minMoments is the number of separate moments with strikes at which a key is convicted.
	minMoments = 3
	// minMomentsInDoubt is the number for keys with which requests were answered lately, and
	// for those with a rival that was struck by the same crashes; minMomentsAnswered for those
	// with which requests were answered between crashes.
	minMomentsInDoubt  = 4
	minMomentsAnswered = 5
	// momentGap separates two moments. Upstreams that are lost together, as with a failure
	// domain, crash within one moment, and no request is the cause.
	momentGap = 40 * time.Millisecond
	// doubtTime is how long after its first strike a key with answers is not convicted, so
	// that answers at other nodes become known.
	doubtTime = time.Second
	// explainedFraction is the fraction of a key's moments that nested keys have to explain to be
	// convicted before it, if requests with it were answered between crashes.
	explainedFraction = 1.0 / 3
	// maxUnexplained is the number of moments that nested keys may leave unexplained to be
	// convicted before the outer one.
	maxUnexplained = 1
	// lossSize is the number of upstreams that crash within lossWindow from which the crashes are
	// taken for a loss, which a nested key need not explain.
	lossSize   = 4
	lossWindow = 25 * time.Millisecond
	// lossWeight is how many moments weigh as much as one without losses, for keys with which
	// requests were answered. A long series of losses still convicts them.
	lossWeight = 2
	// clearedWeight is how many strikes that count outweigh one that was cleared: a part that was
	// answered at first may crash upstreams from some moment on.
	clearedWeight = 3
	// rivalCrashes is the number of common crashes from which two keys are rivals.
	rivalCrashes = 2
)

// candidate is a key that may be convicted.
type candidate struct {
	*entry
	// unexplained are its strikes that no convicted key explains.
	unexplained crashSet
	moments     int
	first       time.Time
	// doubt tells how much answers speak for the key.
	doubt doubt
}

// margin is the number of moments beyond those at which the key is convicted.
func (c *candidate) margin() int { return c.moments - c.doubt.minMoments() }

// doubt is what answers to requests with a key say about its guilt. Sound keys that many requests
// share are struck by each crash, and their answers tell them from the cause.
type doubt int

const (
	// neverAnswered is for keys with which no request was answered lately.
	neverAnswered doubt = iota
	// answeredBefore is for keys with which requests were answered before the strikes.
	answeredBefore
	// answeredBetween is for keys with which requests were answered between crashes.
	answeredBetween
)

// minMoments returns the number of moments at which a key is convicted.
func (d doubt) minMoments() int {
	return [...]int{minMoments, minMomentsInDoubt, minMomentsAnswered}[d]
}

func (g *Guard) doubtOf(e *entry) doubt {
	switch {
	case clearedWeight*e.cleared.size() >= e.live().size() && !e.cleared.empty():
		return answeredBetween
	case g.answers.has(e.key):
		return answeredBefore
	}
	return neverAnswered
}

// Convicted returns the convicted keys of a chain.
func (g *Guard) Convicted(chain Chain, now time.Time) (keys []Key) {
	g.judge(now)
	if len(g.convicted) == 0 {
		return nil
	}
	for _, key := range chain {
		if g.convicted[key] != nil {
			keys = append(keys, key)
		}
	}
	return keys
}

// judge finds the convicted keys: the one with the most moments beyond those that it takes first,
// then the next by the strikes that are left. All strikes of a convicted key's crashes are explained by it, so
// keys that were only struck beside it are not convicted.
//
// A key is convicted before its parents, which its crashes strike as well. A parent that is guilty
// itself has strikes beside other keys, which remain unexplained.
func (g *Guard) judge(now time.Time) {
	if !g.dirty {
		return
	}
	g.dirty = false
	g.sortCrashes()
	var explained crashSet
	previous := g.convicted
	g.convicted = map[Key]*entry{}
	for {
		all, waits := g.candidates(&explained, now)
		g.dirty = g.dirty || waits
		c := g.next(all)
		if c == nil {
			break
		}
		live := c.live()
		explained.merge(&live)
		g.convicted[c.key] = c.entry
		if c.convictedAt.IsZero() {
			c.convictedAt = now
			g.noteVerdict(c.entry, true)
		}
	}
	for key, e := range previous {
		if g.convicted[key] == nil {
			e.convictedAt = time.Time{}
			g.noteVerdict(e, false)
		}
	}
}

// Verdict is a change of what is known of a key.
type Verdict struct {
	Key       Key
	Convicted bool
	// Strikes are the crashes that count against the key, Cleared those that did until a
	// request with it was answered.
	Strikes, Cleared int
	Trials           int
}

// maxVerdicts bounds the changes that wait to be taken.
const maxVerdicts = 64

func (g *Guard) noteVerdict(e *entry, convicted bool) {
	if len(g.verdicts) < maxVerdicts {
		g.verdicts = append(g.verdicts, Verdict{Key: e.key, Convicted: convicted, Strikes: e.live().size(), Cleared: e.cleared.size(), Trials: e.trials})
	}
}

// TakeVerdicts returns the changes since the last call, at most 64.
func (g *Guard) TakeVerdicts(now time.Time) []Verdict {
	g.judge(now)
	taken := g.verdicts
	g.verdicts = nil
	return taken
}

// CountConvicted returns the number of convicted keys.
func (g *Guard) CountConvicted() int { return len(g.convicted) }

// candidates returns the keys with enough unexplained strikes. waits is set if time alone makes
// further ones.
func (g *Guard) candidates(explained *crashSet, now time.Time) (all []candidate, waits bool) {
	for _, e := range g.keys {
		c := candidate{entry: e, unexplained: e.live().without(explained)}
		if c.unexplained.size() < minMoments || g.convicted[e.key] != nil {
			continue // most keys: they were struck by chance
		}
		c.moments, c.first = g.moments(e, c.unexplained)
		c.doubt = g.doubtOf(e)
		if c.doubt != neverAnswered {
			apart, _ := g.moments(e, c.unexplained.without(&g.losses))
			c.moments = max(apart, c.moments/lossWeight)
		}
		if c.margin() < 0 {
			continue
		}
		if c.doubt != neverAnswered && now.Sub(c.first) < doubtTime {
			waits = true
			continue
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(-cmp.Compare(a.margin(), b.margin()), cmp.Compare(a.doubt, b.doubt), cmp.Compare(a.key, b.key))
	})
	return all, waits
}

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
func (g *Guard) deepest(outer *candidate, all []candidate) *candidate {
	var best *candidate
	var union crashSet
	for i := range all {
		d := &all[i]
		if !g.nested(d.key, outer.key) {
			continue
		}
		if g.unexplainedBy(outer, &d.unexplained) <= maxUnexplained {
			return g.deepest(d, all)
		}
		if best == nil {
			best = d
		}
		union.merge(&d.unexplained)
	}
	if best != nil && g.explain(outer, &union) {
		return g.deepest(best, all)
	}
	return outer
}

// explain reports whether several nested keys together explain the strikes of an outer one. A
// convicted key without answers stays the cause: its nested keys share its strikes.
func (g *Guard) explain(outer *candidate, nested *crashSet) bool {
	if outer.doubt == neverAnswered && !outer.convictedAt.IsZero() {
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
