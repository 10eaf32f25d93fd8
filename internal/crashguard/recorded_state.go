package crashguard

import "time"

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
	uncleared := s.struck.without(&s.cleared)
	return !unrecorded.empty() || uncleared.common(&e.cleared) > 0 || e.trials > s.trials ||
		e.recordsTrial && e.inTrial && e.trialAt.Sub(s.trialAt) > trialSpacing || s.inTrial && !e.inTrial
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
	return e != nil && e.recordsTrial && e.inTrial && e.trialAt.Sub(e.recorded.trialAt) > trialSpacing
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

// stateOf returns the part of an entry that a record holds.
func (g *Guard) stateOf(e *entry) recordedState {
	return recordedState{struck: e.struck, cleared: e.cleared, trials: e.trials, trialAt: e.trialAt, inTrial: e.recordsTrial && e.inTrial}
}
