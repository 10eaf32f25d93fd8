package suspect

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

const (
	// suspectRetryAfter is the RetryAfter of a suspect that has no permission at present.
	suspectRetryAfter = 2 * time.Second
	// convictedRetryAfter is the RetryAfter of a convicted request.
	convictedRetryAfter = time.Minute
)

// IsSuspect reports whether the request is a suspect. Its upstream then has to be chosen
// to be idle, before AdmitAt.
func (t *Tracker) IsSuspect(f request.Fingerprint) bool { return t.store.get(f).suspect() }

// Admit is AdmitAt for an upstream that is not chosen yet. Only one such suspect may run
// at a time in the whole system.
func (t *Tracker) Admit(attempt string, f request.Fingerprint, now time.Time) Decision {
	return t.AdmitAt(attempt, f, "", now)
}

// AdmitAt must be called before an attempt is sent to an upstream. After Wait the
// decision comes in Ready. An attempt that may run is followed by Started, and by
// Completed or Finished at its end. One that is not sent is followed by Finished only.
func (t *Tracker) AdmitAt(attempt string, f request.Fingerprint, upstream string, now time.Time) Decision {
	t.setTime(now)
	t.updateFreshness()
	if !t.fresh() {
		t.waiting = append(t.waiting, waiter{attempt: attempt, fingerprint: f, lane: upstream})
		t.advance()
		return Decision{Attempt: attempt, Verdict: Wait}
	}
	d := t.evaluate(waiter{attempt: attempt, fingerprint: f, lane: upstream})
	t.advance()
	return d
}

// evaluate decides on an attempt while the node is fresh.
func (t *Tracker) evaluate(w waiter) Decision {
	e := t.store.get(w.fingerprint)
	all, proven := e.crashCount()
	switch {
	case all >= convictionCrashes:
		return t.refuse(w.attempt, e, proven >= convictionCrashes)
	case all == 0 || !t.settings.applies(ruleVote):
		t.flights[w.attempt] = &flight{attempt: w.attempt, fingerprint: w.fingerprint}
		return Decision{Attempt: w.attempt, Verdict: Run}
	}
	return t.startBallot(w, e)
}

func (t *Tracker) refuse(attempt string, e *entry, convicted bool) Decision {
	t.store.extend(e, t.now)
	return Decision{Attempt: attempt, Verdict: Refuse, Convicted: convicted, RetryAfter: convictedRetryAfter}
}

// admitWaiting decides on the attempts that waited for the node to become fresh.
func (t *Tracker) admitWaiting() {
	if len(t.waiting) == 0 || !t.fresh() {
		return
	}
	list := t.waiting
	t.waiting = nil
	for _, w := range list {
		if d := t.evaluate(w); d.Verdict != Wait {
			t.decide(d)
		}
	}
}

// MaxWait is the longest time from [Wait] to the decision.
func (t *Tracker) MaxWait() time.Duration { return t.settings.MaxWait() }

// Fresh reports whether the node knows what its peers know, so that a request that it knows
// nothing of may run.
func (t *Tracker) Fresh(now time.Time) bool {
	t.setTime(now)
	return t.fresh()
}

// Started must be called just before an attempt is sent to an upstream. If it returns
// false, the attempt must not be sent and is forgotten: since Admit this node has learned
// that the request is a suspect, or was paused.
func (t *Tracker) Started(attempt string, f request.Fingerprint, upstream string, now time.Time) bool {
	t.setTime(now)
	fl := t.flights[attempt]
	if fl == nil {
		fl = &flight{attempt: attempt, fingerprint: f}
		t.flights[attempt] = fl
	}
	if !t.mayStart(fl, upstream) {
		delete(t.flights, attempt)
		return false
	}
	fl.upstream = upstream
	fl.started = t.now
	return true
}

func (t *Tracker) mayStart(fl *flight, upstream string) bool {
	if fl.granted {
		return fl.lane == "" || fl.lane == upstream
	}
	if !t.fresh() {
		return false
	}
	return !t.store.get(fl.fingerprint).suspect() || !t.settings.applies(ruleVote)
}

// Completed must be called when an attempt has given its whole answer. It clears the
// request.
func (t *Tracker) Completed(attempt string, now time.Time) {
	t.setTime(now)
	fl := t.flights[attempt]
	if fl == nil {
		return
	}
	t.completions.add(fl.fingerprint, t.now)
	if e := t.store.get(fl.fingerprint); e.suspect() {
		t.learn(Record{Fingerprint: fl.fingerprint, Cleared: e.crashes, Left: e.expiresAt - t.now}, "")
	}
	t.endFlight(fl)
	t.advance()
}

// Finished must be called when an attempt has ended otherwise: declined, cancelled,
// crashed (after Crashed) or never sent. It may be called for any attempt.
func (t *Tracker) Finished(attempt string, now time.Time) {
	t.setTime(now)
	t.cancelWaiting(attempt)
	if fl := t.flights[attempt]; fl != nil {
		t.endFlight(fl)
	}
	t.advance()
}

func (t *Tracker) endFlight(fl *flight) {
	delete(t.flights, fl.attempt)
	if fl.granted {
		t.releaseVotes(fl.attempt, fl.fingerprint, fl.voters)
	}
	t.clearOwnDoubt(fl.fingerprint)
}

// inFlight reports whether another attempt of the fingerprint may run here.
func (t *Tracker) inFlight(f request.Fingerprint, attempt string) bool {
	for _, fl := range t.flights {
		if fl.fingerprint == f && fl.attempt != attempt {
			return true
		}
	}
	return false
}
