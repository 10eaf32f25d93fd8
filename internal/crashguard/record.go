package crashguard

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxRecordBytes bounds an encoded record. It leaves room in a row of 64 KiB.
	maxRecordBytes = 48 << 10
	// maxRecordKeys bounds the keys of a record, maxRecordFirst those of them that are convicted or
	// were tried: newer evidence has the rest.
	maxRecordKeys  = 128
	maxRecordFirst = 96
)

// Record is what nodes know of crashes as the platform's table holds it, so that it outlasts the
// processes. Unlike a [Report], which is news for peers, it has all evidence that may still count.
// Times are in ms of the table's clock.
type Record struct {
	Crashes []RecordedCrash `json:"crashes"`
	Keys    []RecordedKey   `json:"keys"`
}

// RecordedCrash is a crash and when it happened.
type RecordedCrash struct {
	ID   CrashID `json:"id"`
	AtMs int64   `json:"at_ms"`
}

// RecordedKey is what is recorded of a key. Struck, Cleared and Sequels are bit sets of indexes into
// the record's crashes.
type RecordedKey struct {
	Key     Key    `json:"key"`
	Parent  Key    `json:"parent,omitempty"`
	Part    bool   `json:"part,omitempty"`
	Struck  []byte `json:"struck,omitempty"`
	Cleared []byte `json:"cleared,omitempty"`
	Sequels []byte `json:"sequels,omitempty"`
	Trials  int    `json:"trials,omitempty"`
	// TrialMs is when the last trial began; 0 for none. InTrial is set while it may still run.
	TrialMs int64 `json:"trial_ms,omitempty"`
	InTrial bool  `json:"in_trial,omitempty"`
	// Answered is set if requests with the key were answered shortly before its strikes.
	Answered bool `json:"answered,omitempty"`
}

// DecodeRecord decodes a record, which another program may have written.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, eris.Wrap(err, "record of crashes")
	}
	if err := r.Check(); err != nil {
		return Record{}, err
	}
	return r, nil
}

// Check returns the first value of the record that is out of bounds; nil if there is none.
func (r *Record) Check() error {
	if len(r.Crashes) > maxCrashes || len(r.Keys) > maxKeys {
		return eris.Errorf("record of crashes: %d crashes and %d keys, at most %d and %d are allowed", len(r.Crashes), len(r.Keys), maxCrashes, maxKeys)
	}
	for i := range r.Keys {
		if trials := r.Keys[i].Trials; trials < 0 || trials > maxRecordedTrials {
			return eris.Errorf("record of crashes: trials of key %016x is %d, want 0 to %d", uint64(r.Keys[i].Key), trials, maxRecordedTrials)
		}
	}
	return nil
}

// maxRecordedTrials bounds the trials of a key in a record. A loss of upstreams in a trial starts
// the trials anew.
const maxRecordedTrials = 1000

// TableClock converts between this node's clock and that of the table.
type TableClock struct {
	// Origin is the time of this node at which the table's clock showed 0.
	Origin time.Time
}

func (c TableClock) toTable(at time.Time) int64 { return at.Sub(c.Origin).Milliseconds() }

// toLocal returns the time of this node for a time of the table. A time in the future is of another
// clock and counts as now; ok is false for one that is too old to count.
func (c TableClock) toLocal(ms int64, now time.Time) (at time.Time, ok bool) {
	current := c.toTable(now)
	switch {
	case ms < 0 || current-ms > convictionTTL.Milliseconds():
		return time.Time{}, false
	case ms > current:
		return now, true
	}
	return now.Add(-time.Duration(current-ms) * time.Millisecond), true
}

// recordedState is the part of an entry that the table is known to hold.
type recordedState struct {
	struck, cleared crashSet
	trials          int
	trialAt         time.Time
	inTrial         bool
}

// merge adds what another state holds.
func (s *recordedState) merge(other *recordedState) {
	s.struck.merge(&other.struck)
	s.cleared.merge(&other.cleared)
	s.trials = max(s.trials, other.trials)
	if !other.trialAt.Before(s.trialAt) {
		s.trialAt, s.inTrial = other.trialAt, other.inTrial
	}
}

// lacks reports whether the table does not hold all that matters of an entry.
func (s *recordedState) lacks(e *entry) bool {
	unrecorded := e.live().without(&s.struck)
	unclearedThere := s.struck.without(&s.cleared)
	return !unrecorded.empty() || unclearedThere.common(&e.cleared) > 0 || e.trials > s.trials ||
		e.persistent && e.inTrial && e.trialAt.Sub(s.trialAt) > trialSpacing || s.inTrial && !e.inTrial
}

// SetEra sets the era of the table. What an earlier era held may be lost.
func (g *Guard) SetEra(era uint64) {
	if g.era == era {
		return
	}
	g.era = era
	g.ForgetRecorded()
}

// ForgetRecorded records that the table holds nothing of what this guard knows.
func (g *Guard) ForgetRecorded() {
	for i := range g.crashes {
		g.crashes[i].tableMs = 0
	}
	for _, e := range g.keys {
		e.recorded = recordedState{}
	}
}

// HasUnrecordedTrial reports whether the table may lack a trial of a key that has to be recorded.
func (g *Guard) HasUnrecordedTrial(key Key) bool {
	e := g.keys[key]
	return e != nil && e.persistent && e.inTrial && e.trialAt.Sub(e.recorded.trialAt) > trialSpacing
}

// HasUnrecorded reports whether the table may lack evidence that counts.
func (g *Guard) HasUnrecorded(now time.Time) bool {
	g.bound(now)
	for _, e := range g.keys {
		if e.recorded.lacks(e) {
			return true
		}
	}
	return false
}

// Draft is a record that is about to be written.
type Draft struct {
	Record Record
	// Data is the encoded record.
	Data   []byte
	ids    [maxCrashes]CrashID
	states map[Key]recordedState
}

// Draft returns the record that the table should hold: the evidence that matters most. ok is false
// if the table is known to hold it.
func (g *Guard) Draft(clock TableClock, now time.Time) (d *Draft, ok bool) {
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
	for count := len(selected); ; count = count * 3 / 4 {
		d.Record = g.record(selected[:count], clock)
		data, err := json.Marshal(d.Record)
		if err != nil {
			panic(err) // its types always encode
		}
		if d.Data = data; len(data) <= maxRecordBytes || count == 0 {
			return d, true
		}
	}
}

// stateOf returns the part of an entry that a record holds.
func (g *Guard) stateOf(e *entry) recordedState {
	return recordedState{struck: e.struck, cleared: e.cleared, trials: e.trials, trialAt: e.trialAt, inTrial: e.persistent && e.inTrial}
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
			k.TrialMs, k.InTrial = max(clock.toTable(e.trialAt), 1), e.persistent && e.inTrial
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
		e.persistent = true // it stays recorded as running when this node writes
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
