package crashguard

import (
	"slices"
	"time"
)

// trialDelays are the times from a conviction to the first trial of the key, and from each trial
// to the next. No more trials than delays may run: each of them may crash an upstream.
var trialDelays = [...]time.Duration{5 * time.Second, 30 * time.Second}

// cleanTrialTime is how long a trial waits for a request without other keys in question.
const cleanTrialTime = 4 * time.Second

// trialTimeout is how long the next trial waits for the result of the last one, which may be at
// another node or have ended with it. It is longer than requests wait for answers.
const trialTimeout = 30 * time.Second

// trialAskInterval is the pause between two requests of a node for the same trial.
const trialAskInterval = time.Second

// TrialDue reports whether a request with its chain might be the trial of a blocked key, as far as
// this node knows; it then asks for the trial. A request with a nested key that was struck
// repeatedly may crash an upstream for that, and is no trial at first.
func (g *Guard) TrialDue(chain Chain, key Key, now time.Time) bool {
	e := g.blocked(key)
	if e == nil || now.Before(e.askAgainAt) {
		return false
	}
	at, ok := g.nextTrial(e)
	if !ok {
		return false
	}
	if slices.ContainsFunc(chain[slices.Index(chain, key)+1:], func(k Key) bool { return g.Strikes(k) >= rivalCrashes }) {
		at = at.Add(cleanTrialTime)
	}
	return !now.Before(at)
}

// nextTrial returns when the next trial of a blocked key is due; false if there is none.
func (g *Guard) nextTrial(e *entry) (time.Time, bool) {
	trials, last := g.trialsOf(e)
	if g.wasLostInTrial(e) {
		trials = 0
	}
	if trials >= len(trialDelays) || !e.part && g.lateStrikes(e) >= maxLateStrikes && g.doubtOf(e) == neverAnswered {
		return time.Time{}, false
	}
	delay := trialDelays[trials]
	switch {
	case e.inTrial:
		delay = trialTimeout
	case trials == 0 && g.convicted[e.key] == nil:
		delay = quarantineTime
	}
	return later(e.blockedAt(), last).Add(delay), true
}

// wasLostInTrial reports whether the upstream of the last trial was lost together with others,
// which says nothing of the key.
func (g *Guard) wasLostInTrial(e *entry) (lost bool) {
	if !e.tried() {
		return false
	}
	e.live().each(func(slot int) {
		lost = lost || g.losses.has(slot) && g.crashes[slot].at.After(e.trialAt)
	})
	return lost
}

// trialsOf returns the number of trials of a key, and the time of the last. Convicted keys with one
// parent share their trials while no request with the parent is answered: the parent may be the
// cause of all their strikes.
func (g *Guard) trialsOf(e *entry) (trials int, last time.Time) {
	trials, last = e.trials, e.trialAt
	parent := g.keys[e.parent]
	if parent == nil || parent.live().size() < e.live().size() {
		return trials, last
	}
	trials = 0
	for _, sibling := range g.keys {
		if sibling.parent == e.parent {
			trials += sibling.trials
			last = later(last, sibling.trialAt)
		}
	}
	return trials, last
}

// BeginTrial records that this node is about to send a request with the blocked key. It reports
// whether the trial has to be recorded in the table before: otherwise a loss of all nodes during the
// trial of a convicted key would allow another one.
func (g *Guard) BeginTrial(key Key, now time.Time) (record bool) {
	e := g.blocked(key)
	if e == nil {
		return false
	}
	e.trialAt, e.inTrial, e.recordsTrial = now, true, g.IsConvicted(key)
	return e.recordsTrial
}

// CountTrial records that a request that was let through may have run.
func (g *Guard) CountTrial(key Key) {
	if e := g.blocked(key); e != nil {
		e.trials++
		e.inTrial = false
	}
}

// DeclineTrial records that no upstream ran a request that was let through.
func (g *Guard) DeclineTrial(key Key) {
	if e := g.keys[key]; e != nil {
		e.inTrial = false
	}
}
