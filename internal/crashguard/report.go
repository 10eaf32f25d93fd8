package crashguard

import (
	"slices"
	"time"
)

const (
	// maxSentKeys bounds the keys of one report.
	maxSentKeys = 48
	// trialSpacing is the time beyond which two reported times are those of two trials. Reports
	// are late by their transit.
	trialSpacing = time.Second
	// clearanceTime is for how long a clearance is sent first.
	clearanceTime = 5 * time.Second
)

// Report is a part of what a node knows of crashes, as it is sent to peers.
type Report struct {
	Crashes []ReportedCrash
	Keys    []ReportedKey
}

// ReportedCrash is a crash and the time since then.
type ReportedCrash struct {
	ID  CrashID
	Age time.Duration
}

// ReportedKey is what a node knows of a key. Struck, Cleared and Sequels are bit sets of indexes
// into the report's crashes.
type ReportedKey struct {
	Key, Parent Key
	// Part is set for a part of prompts.
	Part                     bool
	Struck, Cleared, Sequels []byte
	Trials                   int
	// TrialAge is the time since the last trial; 0 for none.
	TrialAge time.Duration
}

// Report returns the most important part of what the guard knows.
func (g *Guard) Report(now time.Time) Report {
	if len(g.keys) == 0 {
		return Report{}
	}
	g.bound(now)
	g.judge(now)
	var r Report
	index := map[int]int{}
	for _, e := range g.toReport(now) {
		k := ReportedKey{Key: e.key, Parent: e.parent, Part: e.part, Trials: e.trials}
		if e.tried() {
			k.TrialAge = max(now.Sub(e.trialAt), 1)
		}
		e.struck.each(func(slot int) {
			i, ok := index[slot]
			if !ok {
				i = len(r.Crashes)
				index[slot] = i
				r.Crashes = append(r.Crashes, ReportedCrash{ID: g.crashes[slot].id, Age: now.Sub(g.crashes[slot].at)})
			}
			k.Struck = setBit(k.Struck, i)
			if e.cleared.has(slot) {
				k.Cleared = setBit(k.Cleared, i)
			}
			if e.sequels.has(slot) {
				k.Sequels = setBit(k.Sequels, i)
			}
		})
		r.Keys = append(r.Keys, k)
	}
	return r
}

// toReport returns the keys to report: convicted ones, recent clearances, and the others by their
// strikes.
func (g *Guard) toReport(now time.Time) []*entry {
	recent := g.crashesSince(now.Add(-newsTime))
	newest := g.newestCrashes(&recent)
	var first, rest []*entry
	for _, e := range g.byWeight(func(yield func(*entry) bool) {
		for _, e := range g.keys {
			live := e.live()
			isNews := live.common(&recent) > 0 && live.size() > 1 || live.common(&newest) > 0
			if (g.isSentFirst(e, now) || isNews || !e.quarantinedAt.IsZero()) && !yield(e) {
				return
			}
		}
	}) {
		if g.isSentFirst(e, now) {
			first = append(first, e)
		} else {
			rest = append(rest, e)
		}
	}
	all := slices.Concat(first[:min(len(first), maxSentKeys*3/4)], rest)
	return all[:min(len(all), maxSentKeys)]
}

func (g *Guard) isSentFirst(e *entry, now time.Time) bool {
	return !e.convictedAt.IsZero() || e.tried() || !e.clearedAt.IsZero() && now.Sub(e.clearedAt) < clearanceTime
}

const (
	// sentCrashes is the number of crashes whose keys are sent with a single strike.
	sentCrashes = 4
	// newsTime is for how long keys that are not convicted are sent after their last strike. All
	// nodes know them by then.
	newsTime = 30 * time.Second
)

// newestCrashes returns the newest crashes, less those that are no news.
func (g *Guard) newestCrashes(recent *crashSet) (newest crashSet) {
	for range sentCrashes {
		best := -1
		recent.without(&newest).each(func(slot int) {
			if best < 0 || g.crashes[slot].at.After(g.crashes[best].at) {
				best = slot
			}
		})
		if best >= 0 {
			newest.add(best)
		}
	}
	return newest
}

// crashesSince returns the crashes since a time.
func (g *Guard) crashesSince(from time.Time) (recent crashSet) {
	for slot, c := range g.crashes {
		if c.at.After(from) {
			recent.add(slot)
		}
	}
	return recent
}

// Merge adds what a peer reports. It reports whether that matters to other nodes soon: a key has
// repeated strikes that are new here, or its verdict, strikes or trials have changed.
func (g *Guard) Merge(r Report, now time.Time) (urgent bool) {
	slots := make([]int, len(r.Crashes))
	for i, c := range r.Crashes {
		slots[i] = g.slot(c.ID, now.Add(-c.Age), now)
	}
	g.dropReused(slots, func(i int) CrashID { return r.Crashes[i].ID })
	for i := range r.Keys {
		urgent = g.mergeKey(&r.Keys[i], slots, now) || urgent
	}
	for _, c := range r.Crashes {
		urgent = g.Crashed(c.ID, now.Add(-c.Age), now) || urgent
	}
	g.bound(now)
	return urgent
}

// dropReused replaces by -1 the slots of crashes that later ones have taken.
func (g *Guard) dropReused(slots []int, id func(i int) CrashID) {
	for i, slot := range slots {
		if slot >= 0 && g.crashes[slot].id != id(i) {
			slots[i] = -1
		}
	}
}

func (g *Guard) mergeKey(k *ReportedKey, slots []int, now time.Time) (urgent bool) {
	e := g.entry(k.Key)
	if e.parent == 0 {
		e.parent = k.Parent
	}
	e.part = e.part || k.Part
	struck, cleared, sequels, before := e.struck, e.cleared, e.sequels, e.live()
	for i, slot := range slots {
		if slot < 0 || !hasBit(k.Struck, i) {
			continue
		}
		e.struck.add(slot)
		if hasBit(k.Cleared, i) {
			e.cleared.add(slot)
		}
		if hasBit(k.Sequels, i) {
			e.sequels.add(slot)
		}
	}
	if e.cleared != cleared && !before.empty() {
		e.clearedAt, urgent = now, true
	}
	if live := e.live(); e.struck != struck && live != before && live.common(&live) >= rivalCrashes {
		urgent = true
	}
	if at := now.Add(-k.TrialAge); k.TrialAge > 0 && at.Sub(e.trialAt) > trialSpacing {
		e.trialAt, e.inTrial, urgent = at, true, true
	}
	if k.Trials > e.trials {
		e.trials, e.inTrial, urgent = k.Trials, false, true
	}
	g.dirty = g.dirty || e.struck != struck || e.cleared != cleared || e.sequels != sequels
	if e.struck.empty() {
		delete(g.keys, k.Key) // all its crashes have expired
	}
	return urgent
}

func setBit(set []byte, i int) []byte {
	for len(set) <= i/8 {
		set = append(set, 0)
	}
	set[i/8] |= 1 << (i % 8)
	return set
}

func hasBit(set []byte, i int) bool { return i/8 < len(set) && set[i/8]&(1<<(i%8)) != 0 }
