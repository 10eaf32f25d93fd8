package crashguard

import "time"

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
	// judgeInterval is the pause between two searches for verdicts that time alone changes.
	judgeInterval = 50 * time.Millisecond
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

// judge finds the convicted keys: the one with the largest margin first, then the next by the
// strikes that are left. A convicted key explains all strikes of its crashes, so keys that were
// only struck beside it are not convicted.
//
// A key is convicted before its parents, which its crashes strike as well. A parent that is guilty
// itself has strikes beside other keys, which remain unexplained.
func (g *Guard) judge(now time.Time) {
	if !g.dirty && (g.judgeAt.IsZero() || now.Before(g.judgeAt)) {
		return
	}
	g.dirty, g.judgeAt = false, time.Time{}
	g.sortCrashes()
	var explained crashSet
	previous := g.convicted
	g.convicted = map[Key]*entry{}
	for {
		all, waits := g.candidates(&explained, now)
		if waits {
			g.judgeAt = now.Add(judgeInterval)
		}
		c := g.next(all)
		if c == nil {
			break
		}
		live := c.live()
		explained.merge(&live)
		g.convicted[c.key] = c.entry
		if c.convictedAt.IsZero() {
			c.convictedAt = now
			g.noteVerdict(c.entry, Convicted)
		}
	}
	for key, e := range previous {
		if g.convicted[key] == nil {
			e.convictedAt = time.Time{}
			g.noteVerdict(e, Cleared)
		}
	}
	g.findQuarantined(now)
}
