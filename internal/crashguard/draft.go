package crashguard

import (
	"encoding/json"
	"time"
)

// Draft is a record that is about to be written.
type Draft struct {
	Record Record
	// Data is the encoded record.
	Data   []byte
	ids    [maxCrashes]CrashID
	states map[Key]recordedState
}

// Draft returns the record that the table should hold beside what it holds: the evidence that matters
// most. ok is false if the table is known to hold it.
func (g *Guard) Draft(held Record, clock TableClock, now time.Time) (d *Draft, ok bool) {
	g.bound(now)
	g.judge(now)
	selected := g.toRecord()
	for _, e := range selected {
		ok = ok || e.recorded.lacks(e)
	}
	if !ok {
		for _, e := range g.keys { // what has no room is given up
			state := g.stateOf(e)
			e.recorded.merge(&state)
		}
		return nil, false
	}
	d = &Draft{states: map[Key]recordedState{}}
	for slot := range g.crashes {
		d.ids[slot] = g.crashes[slot].id
	}
	for key, e := range g.keys {
		d.states[key] = g.stateOf(e)
	}
	both := New()
	both.mergeRecord(held, clock, combined, now)
	both.mergeRecord(g.record(selected, clock), clock, combined, now)
	both.judge(now)
	selected = both.toRecord()
	for count := len(selected); ; count = count * 3 / 4 {
		d.Record = both.record(selected[:count], clock)
		data, err := json.Marshal(d.Record)
		if err != nil {
			panic(err) // its types always encode
		}
		if d.Data = data; len(data) <= maxRecordBytes || count == 0 {
			return d, true
		}
	}
}

// toRecord returns the keys to record, the most important first.
func (g *Guard) toRecord() []*entry {
	var first, rest []*entry
	for _, e := range g.byWeight(func(yield func(*entry) bool) {
		for _, e := range g.keys {
			if !yield(e) {
				return
			}
		}
	}) {
		if !e.convictedAt.IsZero() || e.tried() {
			first = append(first, e)
		} else {
			rest = append(rest, e)
		}
	}
	all := append(first[:min(len(first), maxRecordFirst)], rest...)
	return all[:min(len(all), maxRecordKeys)]
}

// record returns the record of some entries.
func (g *Guard) record(entries []*entry, clock TableClock) Record {
	r := Record{Crashes: []RecordedCrash{}, Keys: []RecordedKey{}}
	index := map[int]int{}
	for _, e := range entries {
		k := RecordedKey{Key: e.key, Parent: e.parent, Part: e.part, Trials: e.trials, Answered: e.answered || g.answers.has(e.key)}
		if e.tried() {
			k.TrialMs, k.InTrial = max(clock.toTable(e.trialAt), 1), e.recordsTrial && e.inTrial
		}
		e.struck.each(func(slot int) {
			i, ok := index[slot]
			if !ok {
				i = len(r.Crashes)
				index[slot] = i
				c := &g.crashes[slot]
				if c.tableMs == 0 {
					c.tableMs = max(clock.toTable(c.at), 1)
				}
				r.Crashes = append(r.Crashes, RecordedCrash{ID: c.id, AtMs: c.tableMs})
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

// NoteRecorded records that the table holds a draft.
func (g *Guard) NoteRecorded(d *Draft) {
	var reused crashSet
	for slot := range g.crashes {
		if g.crashes[slot].id != d.ids[slot] {
			reused.add(slot)
		}
	}
	for key, state := range d.states {
		if e := g.keys[key]; e != nil {
			state.struck, state.cleared = state.struck.without(&reused), state.cleared.without(&reused)
			e.recorded.merge(&state)
		}
	}
}
