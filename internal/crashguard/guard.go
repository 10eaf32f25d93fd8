// Package crashguard finds out what crashes upstreams, a part that prompts share or a single
// request, and refuses requests that contain it.
//
// A crash strikes the keys of all requests that the upstream was about to answer. An answer
// clears the earlier strikes of its keys. Nodes exchange strikes and clearances. A key is
// convicted if it has several strikes that no other convicted key explains; see verdict.go.
// The verdict follows from the evidence alone, so later evidence ends a wrong conviction. A
// few trials find out whether a convicted key still crashes upstreams. Before that, a key whose
// requests crashed several upstreams and were never answered is quarantined; see quarantine.go.
// The package does no I/O and takes no locks.
package crashguard

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

const (
	// strikeTTL is how long a crash counts against keys that are not convicted.
	strikeTTL = 10 * time.Minute
	// convictionTTL is how long a crash counts against a convicted key.
	convictionTTL = 24 * time.Hour
	// maxKeys bounds the keys in memory.
	maxKeys = 2048
)

// crash is the crash of one incarnation of an upstream.
type crash struct {
	id CrashID
	// at is when it happened, by the clock of this node; zero if the slot is free.
	at time.Time
	// tableMs is that time by the table's clock, as recorded; 0 if it is not.
	tableMs int64
}

// Guard stores what a node knows of crashes. It is not safe for concurrent use.
type Guard struct {
	crashes [maxCrashes]crash
	slots   map[CrashID]int
	keys    map[Key]*entry
	answers answerLog
	// dirty is set if the verdicts have to be found anew.
	dirty bool
	// judgeAt is when verdicts may change by time alone; zero for never.
	judgeAt time.Time
	// order is the slots of all crashes by time, as of the last verdicts.
	order []int
	// losses are the crashes of many upstreams together.
	losses    crashSet
	convicted map[Key]*entry
	// quarantined are the keys that are not convicted and whose requests run one at a time.
	quarantined map[Key]*entry
	verdicts    []Verdict
	// granted holds when this node granted trials.
	granted map[Key]time.Time
	// left are the attempts that this node has left, by their upstreams, leftCount their number.
	left      map[CrashID][]leftAttempt
	leftCount int
	// era is the era of the table in which the recorded parts of entries were written.
	era uint64
}

// New returns a guard that knows of no crash.
func New() *Guard {
	return &Guard{slots: map[CrashID]int{}, keys: map[Key]*entry{}, convicted: map[Key]*entry{}, quarantined: map[Key]*entry{}, granted: map[Key]time.Time{},
		left: map[CrashID][]leftAttempt{}}
}

// Knows reports whether the crash is known.
func (g *Guard) Knows(id CrashID) bool {
	_, ok := g.slots[id]
	return ok
}

// Strike records that an upstream crashed, at the given time, while it was about to answer a
// request with these keys, which was sent before. It reports whether a strike is new.
func (g *Guard) Strike(id CrashID, chain Chain, sent, at, now time.Time) (fresh bool) {
	slot := g.slot(id, at, now)
	if slot < 0 {
		return false
	}
	for i, key := range chain {
		e := g.entry(key)
		if i > 0 {
			e.parent = chain[i-1]
		}
		e.part = e.part || i < len(chain)-1
		if e.struck.has(slot) {
			continue
		}
		if live := e.live(); !live.empty() && g.allBefore(live, sent) {
			e.sequels.add(slot)
		}
		e.struck.add(slot)
		fresh = true
	}
	g.dirty = g.dirty || fresh
	g.bound(now)
	return fresh
}

// allBefore reports whether all of some crashes happened before a time.
func (g *Guard) allBefore(set crashSet, at time.Time) bool {
	all := true
	set.each(func(slot int) { all = all && g.crashes[slot].at.Before(at) })
	return all
}

// Answered records that an upstream began to answer a request with these keys at the given time,
// and did not crash. Their earlier strikes are cleared. It reports whether there were any that
// others should learn of.
func (g *Guard) Answered(chain Chain, at, now time.Time) (fresh bool) {
	for _, key := range chain {
		g.answers.add(key, now)
		e := g.keys[key]
		if e == nil {
			continue
		}
		e.live().each(func(slot int) {
			if g.crashes[slot].at.Before(at) {
				e.cleared.add(slot)
				e.clearedAt, g.dirty, fresh = now, true, true
			}
		})
	}
	return fresh
}

// Strikes returns the number of strikes that count against a key.
func (g *Guard) Strikes(key Key) int {
	if e := g.keys[key]; e != nil {
		return e.live().size()
	}
	return 0
}

// slot returns the slot of a crash, which is added if it is unknown; -1 if it has expired.
func (g *Guard) slot(id CrashID, at, now time.Time) int {
	if slot, ok := g.slots[id]; ok {
		// A time that went through peers is late by the transit, so the earliest is closest.
		if at.Before(g.crashes[slot].at) {
			g.crashes[slot].at = at
		}
		return slot
	}
	if now.Sub(at) > convictionTTL {
		return -1
	}
	slot := slices.IndexFunc(g.crashes[:], func(c crash) bool { return c.at.IsZero() })
	if slot < 0 {
		slot = g.oldest()
		g.forget(slot)
	}
	g.crashes[slot] = crash{id: id, at: at}
	g.slots[id] = slot
	return slot
}

// oldest returns the oldest crash that strikes no convicted key, or the oldest of all.
func (g *Guard) oldest() int {
	var kept crashSet
	for _, e := range g.convicted {
		kept.merge(&e.struck)
	}
	oldest := 0
	for slot, c := range g.crashes {
		if kept.has(slot) != kept.has(oldest) {
			if kept.has(oldest) {
				oldest = slot
			}
		} else if c.at.Before(g.crashes[oldest].at) {
			oldest = slot
		}
	}
	return oldest
}

// forget frees the slot of a crash.
func (g *Guard) forget(slot int) {
	delete(g.slots, g.crashes[slot].id)
	g.crashes[slot] = crash{}
	for key, e := range g.keys {
		e.struck.remove(slot)
		e.cleared.remove(slot)
		e.sequels.remove(slot)
		e.recorded.struck.remove(slot)
		e.recorded.cleared.remove(slot)
		if e.struck.empty() {
			delete(g.keys, key)
			delete(g.convicted, key)
			delete(g.quarantined, key)
		}
	}
	g.dirty = true
}

// entry returns the entry of a key, which is added if there is none.
func (g *Guard) entry(key Key) *entry {
	e := g.keys[key]
	if e == nil {
		e = &entry{key: key}
		g.keys[key] = e
	}
	return e
}

// bound drops expired crashes, and beyond maxKeys the keys that matter least.
func (g *Guard) bound(now time.Time) {
	judged := false
	for slot, c := range g.crashes {
		if c.at.IsZero() || now.Sub(c.at) <= strikeTTL {
			continue
		}
		if !judged {
			g.judge(now) // what was just merged may convict keys, whose crashes are kept for longer
			judged = true
		}
		if now.Sub(c.at) > convictionTTL || !g.strikesConvicted(slot) {
			g.forget(slot)
		}
	}
	if len(g.keys) <= maxKeys {
		return
	}
	all := g.byWeight(maps.Values(g.keys))
	for _, e := range all[maxKeys*3/4:] {
		delete(g.keys, e.key)
		delete(g.convicted, e.key)
		delete(g.quarantined, e.key)
	}
	g.dirty = true
}

func (g *Guard) strikesConvicted(slot int) bool {
	for _, e := range g.convicted {
		if e.struck.has(slot) {
			return true
		}
	}
	return false
}

// byWeight sorts keys, the most important first: convicted ones, those that were tried, and then by
// their strikes, the newest first.
func (g *Guard) byWeight(keys iter.Seq[*entry]) []*entry {
	type weighed struct {
		*entry
		class, strikes int
		newest         time.Time
	}
	var all []weighed
	for e := range keys {
		live := e.live()
		w := weighed{entry: e, strikes: live.size()}
		live.each(func(slot int) { w.newest = later(w.newest, g.crashes[slot].at) })
		switch {
		case !e.convictedAt.IsZero():
			w.class = 2
		case e.tried():
			w.class = 1
		}
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b weighed) int {
		return cmp.Or(-cmp.Compare(a.class, b.class), -cmp.Compare(a.strikes, b.strikes), -a.newest.Compare(b.newest), cmp.Compare(a.key, b.key))
	})
	out := make([]*entry, len(all))
	for i, w := range all {
		out[i] = w.entry
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
