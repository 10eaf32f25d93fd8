package crashguard

import "time"

// recordUse is what a record is merged for.
type recordUse int

const (
	// atStart is for a process that starts when none that knew more may be alive: a trial that was
	// running then has ended with its node and counts.
	atStart recordUse = iota
	// whileRunning is for a process that learns of crashes from its peers. It learns only what is
	// recorded: strikes of a loss would arrive before the answers that clear them.
	whileRunning
	// combined is for the record that is to be written.
	combined
)

// MergeRecord adds what the table holds, as this process starts or while it runs. It reports
// whether that matters to other nodes soon.
func (g *Guard) MergeRecord(r Record, clock TableClock, starts bool, now time.Time) (urgent bool) {
	if starts {
		return g.mergeRecord(r, clock, atStart, now)
	}
	return g.mergeRecord(r, clock, whileRunning, now)
}

func (g *Guard) mergeRecord(r Record, clock TableClock, use recordUse, now time.Time) (urgent bool) {
	slots := make([]int, len(r.Crashes))
	for i, c := range r.Crashes {
		slots[i] = g.recordedSlot(c, clock, use, now)
	}
	g.dropReused(slots, func(i int) CrashID { return r.Crashes[i].ID })
	for i := range r.Keys {
		urgent = g.mergeRecordedKey(&r.Keys[i], slots, clock, use, now) || urgent
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
func (g *Guard) recordedSlot(c RecordedCrash, clock TableClock, use recordUse, now time.Time) int {
	at, ok := clock.toLocal(c.AtMs, now)
	if !ok {
		return -1
	}
	slot, known := g.slots[c.ID]
	switch {
	case known:
	case use == whileRunning:
		return -1
	default:
		slot = g.slot(c.ID, at, now)
	}
	if slot >= 0 && c.AtMs <= clock.toTable(now) {
		g.crashes[slot].tableMs = c.AtMs
	}
	return slot
}

func (g *Guard) mergeRecordedKey(k *RecordedKey, slots []int, clock TableClock, use recordUse, now time.Time) (urgent bool) {
	in := ReportedKey{Key: k.Key, Parent: k.Parent, Part: k.Part, Struck: k.Struck, Cleared: k.Cleared, Sequels: k.Sequels, Trials: k.Trials}
	recorded := recordedState{trials: k.Trials, inTrial: k.InTrial}
	if at, ok := clock.toLocal(k.TrialMs, now); ok && k.TrialMs > 0 {
		in.TrialAge, recorded.trialAt = max(now.Sub(at), 1), at
	}
	if use == atStart && k.InTrial {
		in.Trials++
	}
	if use != whileRunning {
		urgent = g.mergeKey(&in, slots, now)
	}
	e := g.keys[k.Key]
	if e == nil {
		return urgent // all its crashes have expired
	}
	switch sameTrial := e.trialAt.Sub(recorded.trialAt).Abs() <= trialSpacing; {
	case sameTrial && use == atStart:
		e.inTrial = false
	case sameTrial && use == combined:
		e.inTrial, e.recordsTrial = k.InTrial, k.InTrial
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
	if use == atStart && k.Answered {
		g.answers.add(k.Key, now)
	}
	return urgent
}
