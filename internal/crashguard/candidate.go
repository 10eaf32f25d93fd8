package crashguard

import (
	"cmp"
	"slices"
	"time"
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

// String returns when requests with the key were answered, for logs.
func (d doubt) String() string { return [...]string{"never", "before", "between"}[d] }

func (g *Guard) doubtOf(e *entry) doubt {
	switch {
	case clearedWeight*e.cleared.size() >= e.live().size() && !e.cleared.empty():
		return answeredBetween
	case g.answers.has(e.key):
		return answeredBefore
	}
	return neverAnswered
}

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
