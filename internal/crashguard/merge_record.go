package crashguard

import "time"

// MergeRecord adds what the table holds. atStart is set if no process that knew more may be alive:
// a trial that was running then has ended with its node and counts. It reports whether that
// matters to other nodes soon.
func (g *Guard) MergeRecord(r Record, clock TableClock, atStart bool, now time.Time) (urgent bool) {
	slots := make([]int, len(r.Crashes))
	for i, c := range r.Crashes {
		slots[i] = g.recordedSlot(c, clock, now)
	}
	g.dropReused(slots, func(i int) CrashID { return r.Crashes[i].ID })
	for i := range r.Keys {
		urgent = g.mergeRecordedKey(&r.Keys[i], slots, clock, atStart, now) || urgent
	}
	for i, c := range r.Crashes {
		if slots[i] >= 0 {
			urgent = g.Crashed(c.ID, g.crashes[slots[i]].at, now) || urgent
		}
	}
	g.bound(now)
	return urgent
}

// recordedSlot returns the slot of a recorded crash, or -1. The time of a crash that this node knows
// stays: times of one loss would come apart by the errors of two clocks.
func (g *Guard) recordedSlot(c RecordedCrash, clock TableClock, now time.Time) int {
	at, ok := clock.toLocal(c.AtMs, now)
	if !ok {
		return -1
	}
	slot, known := g.slots[c.ID]
	if !known {
		slot = g.slot(c.ID, at, now)
	}
	if slot >= 0 && c.AtMs <= clock.toTable(now) {
		g.crashes[slot].tableMs = c.AtMs
	}
	return slot
}

func (g *Guard) mergeRecordedKey(k *RecordedKey, slots []int, clock TableClock, atStart bool, now time.Time) (urgent bool) {
	in := ReportedKey{Key: k.Key, Parent: k.Parent, Part: k.Part, Struck: k.Struck, Cleared: k.Cleared, Sequels: k.Sequels, Trials: k.Trials}
	recorded := recordedState{trials: k.Trials, inTrial: k.InTrial}
	if at, ok := clock.toLocal(k.TrialMs, now); ok && k.TrialMs > 0 {
		in.TrialAge, recorded.trialAt = max(now.Sub(at), 1), at
	}
	lost := atStart && k.InTrial
	if lost {
		in.Trials++
	}
	urgent = g.mergeKey(&in, slots, now)
	e := g.keys[k.Key]
	if e == nil {
		return urgent // all its crashes have expired
	}
	switch sameTrial := e.trialAt.Sub(recorded.trialAt).Abs() <= trialSpacing; {
	case sameTrial && atStart:
		e.inTrial = false
	case sameTrial && e.inTrial && k.InTrial:
		e.recordsTrial = true // it stays recorded as running when this node writes
	}
	for i, slot := range slots {
		// A crash in the future is recorded anew, or each start would take it for one of that moment.
		if slot >= 0 && hasBit(k.Struck, i) && g.crashes[slot].tableMs > 0 {
			recorded.struck.add(slot)
			if hasBit(k.Cleared, i) {
				recorded.cleared.add(slot)
			}
		}
	}
	e.recorded.merge(&recorded)
	e.answered = e.answered || k.Answered
	if atStart && k.Answered {
		g.answers.add(k.Key, now)
	}
	return urgent
}
