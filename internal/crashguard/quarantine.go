package crashguard

import "time"

const (
	// costlyStrikes is the number of crashes that an unanswered key may cause before its requests
	// run one at a time, costlyPartStrikes that for parts of prompts.
	costlyStrikes     = 3
	costlyPartStrikes = 5
	// lateAfter is how long after these crashes further ones count as late: until then requests
	// that were already sent crash upstreams.
	lateAfter = 3 * time.Second
	// maxLateStrikes is the number of late strikes of an unanswered key from which on it gets no
	// trials.
	maxLateStrikes = 2
	// quarantineTime is the time from the quarantine of a key to its first trial. The strikes and
	// answers of all nodes are known by then.
	quarantineTime = time.Second
)

// costlyStrikes returns the number of crashes before the key's requests run one at a time.
func (e *entry) costlyStrikes() int {
	if e.part {
		return costlyPartStrikes
	}
	return costlyStrikes
}

// findQuarantined finds the keys to quarantine: upstreams crashed under several requests with the
// key, none was answered since, and no convicted key with better evidence explains the crashes. At one
// moment that may be a loss of upstreams, or a request of which copies were in progress. Only a
// run on its own tells them apart.
func (g *Guard) findQuarantined(now time.Time) {
	previous := g.quarantined
	g.quarantined = map[Key]*entry{}
	for key, e := range g.keys {
		if g.costly(e).size() < e.costlyStrikes() || g.convicted[key] != nil || g.isExplained(e) {
			continue
		}
		quarantines, waits := g.outweighsAnswers(e, now)
		if waits {
			g.judgeAt = now.Add(judgeInterval)
		}
		if !quarantines {
			continue
		}
		g.quarantined[key] = e
		if previous[key] == nil {
			e.quarantinedAt = now
			g.noteVerdict(e, Quarantined)
		}
	}
	for key, e := range previous {
		if g.quarantined[key] != nil {
			continue
		}
		e.quarantinedAt = time.Time{}
		if g.convicted[key] == nil {
			g.noteVerdict(e, Cleared)
		}
	}
}

// outweighsAnswers reports whether a key with enough crashes is quarantined although requests with
// it may have been answered. If they were answered before the crashes, the verdict waits until
// later answers at other nodes are known.
func (g *Guard) outweighsAnswers(e *entry, now time.Time) (quarantines, waits bool) {
	switch g.doubtOf(e) {
	case neverAnswered:
		return true, false
	case answeredBefore:
		waits = now.Before(g.costlyAt(e).Add(doubtTime))
		return !waits, waits
	default:
		return false, false
	}
}

// costly returns the live strikes that may quarantine a key. For parts of prompts the crashes of a
// loss don't count, unless requests sent after it end in a loss again: many sound parts are in
// flight in a loss, and few requests come that could clear one.
func (g *Guard) costly(e *entry) crashSet {
	live := e.live()
	if !e.part || g.hasRepeatedLoss(e) {
		return live
	}
	return live.without(&g.losses)
}

// hasRepeatedLoss reports whether upstreams were lost together under requests with the key that were
// sent after all its earlier crashes, and no answer cleared these.
func (g *Guard) hasRepeatedLoss(e *entry) bool {
	repeated := e.sequels.without(&e.cleared)
	single := repeated.without(&g.losses)
	return single.size() < repeated.size()
}

// isExplained reports whether convicted keys explain an entry's strikes: those in one chain with it,
// and others that were struck more often. A request that ran beside the cause of crashes may be
// convicted in its place.
func (g *Guard) isExplained(e *entry) bool {
	var explained crashSet
	for key, c := range g.convicted {
		if live := c.live(); live.size() > e.live().size() || g.nested(key, e.key) || g.nested(e.key, key) {
			explained.merge(&live)
		}
	}
	return g.costly(e).without(&explained).size() < e.costlyStrikes()
}

// Blocking returns the keys of a chain for which its requests are refused, unless they are
// trials: the convicted ones or, if there are none, the outermost that is quarantined.
func (g *Guard) Blocking(chain Chain, now time.Time) []Key {
	if keys := g.Convicted(chain, now); len(keys) > 0 || len(g.quarantined) == 0 {
		return keys
	}
	for _, key := range chain {
		if g.quarantined[key] != nil {
			return []Key{key}
		}
	}
	return nil
}

// IsConvicted reports whether a key is convicted.
func (g *Guard) IsConvicted(key Key) bool { return g.convicted[key] != nil }

// blocked returns the entry of a convicted or quarantined key, or nil.
func (g *Guard) blocked(key Key) *entry {
	if e := g.convicted[key]; e != nil {
		return e
	}
	return g.quarantined[key]
}

// costlyAt returns the time of the last of a key's costly strikes; zero if it has fewer.
func (g *Guard) costlyAt(e *entry) time.Time {
	live, count := e.live(), 0
	for _, slot := range g.order {
		if !live.has(slot) {
			continue
		}
		if count++; count == e.costlyStrikes() {
			return g.crashes[slot].at
		}
	}
	return time.Time{}
}

// lateStrikes returns the number of a key's live strikes that happened later than lateAfter after
// its costly ones. The crashes of a loss count as one.
func (g *Guard) lateStrikes(e *entry) int {
	from := g.costlyAt(e)
	if from.IsZero() {
		return 0
	}
	var late crashSet
	e.live().each(func(slot int) {
		if g.crashes[slot].at.After(from.Add(lateAfter)) {
			late.add(slot)
		}
	})
	single := late.without(&g.losses)
	losses, _ := g.moments(e, late.without(&single))
	return single.size() + losses
}
