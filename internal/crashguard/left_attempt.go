package crashguard

import "time"

const (
	// maxLeft bounds the attempts in memory that nodes have left.
	maxLeft = 1024
	// workTime is how long an upstream is assumed to work on an attempt at most after its node has
	// left it; many stop once its connection is closed.
	workTime = 5 * time.Second
	// noticeTime is how long after a crash a node may learn of it: an upstream that nobody
	// asks shows its crash only when its successor is listed.
	noticeTime = 5 * time.Second
)

// leftAttempt is an attempt that its node no longer waits for. Its upstream may still work on it.
type leftAttempt struct {
	chain Chain
	sent  time.Time
	// until is when a crash of the upstream no longer counts against the attempt.
	until time.Time
}

// Leave records that this node no longer waits for an attempt, which was sent before and on which
// its upstream works until a time at most. A crash of the upstream that becomes known soon
// strikes the attempt's keys. It reports whether it struck them at once, as the crash is known.
func (g *Guard) Leave(id CrashID, chain Chain, sent, worksUntil, now time.Time) (fresh bool) {
	if slot, known := g.slots[id]; known {
		return g.Strike(id, chain, sent, g.crashes[slot].at, now)
	}
	if worksUntil.Before(now) {
		worksUntil = now
	}
	if limit := now.Add(workTime); worksUntil.After(limit) {
		worksUntil = limit
	}
	if g.leftCount >= maxLeft {
		g.dropLeft(now)
	}
	if g.leftCount >= maxLeft {
		return false
	}
	g.left[id] = append(g.left[id], leftAttempt{chain, sent, worksUntil.Add(noticeTime)})
	g.leftCount++
	return false
}

// Crashed records that an upstream has crashed, and strikes the keys of the attempts there that this
// node has left. It reports whether a strike is new.
func (g *Guard) Crashed(id CrashID, at, now time.Time) (fresh bool) {
	all := g.left[id]
	g.leftCount -= len(all)
	delete(g.left, id)
	for _, a := range all {
		if !at.After(a.until) {
			fresh = g.Strike(id, a.chain, a.sent, at, now) || fresh
		}
	}
	return fresh
}

// AwaitsCrash returns the upstreams at which this node has left attempts whose crashes would
// count.
func (g *Guard) AwaitsCrash(now time.Time) (ids []CrashID) {
	if g.leftCount > 0 {
		g.dropLeft(now)
	}
	for id := range g.left {
		ids = append(ids, id)
	}
	return ids
}

// dropLeft drops the attempts whose time is over.
func (g *Guard) dropLeft(now time.Time) {
	for id, all := range g.left {
		kept := all[:0]
		for _, a := range all {
			if now.Before(a.until) {
				kept = append(kept, a)
			}
		}
		g.leftCount -= len(all) - len(kept)
		if g.left[id] = kept; len(kept) == 0 {
			delete(g.left, id)
		}
	}
}
