package suspect

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

const (
	// retrySuspect is when a suspect may be permitted that is not now.
	retrySuspect = 2 * time.Second
	// retryConvicted is told to callers of a convicted request.
	retryConvicted = time.Minute
)

// Suspect says whether the request is a suspect, so that its upstream is
// chosen to be alone before AdmitAt.
func (t *Tracker) Suspect(f request.Fingerprint) bool { return t.store.get(f).suspect() }

// Admit is AdmitAt for an upstream that is not chosen yet. Only one such
// suspect may run at a time in the whole system.
func (t *Tracker) Admit(attempt string, f request.Fingerprint, now time.Time) Decision {
	return t.AdmitAt(attempt, f, "", now)
}

// AdmitAt is called before an attempt is sent to an upstream. On Wait the
// answer comes by Ready. An attempt that may run is then told by Started, and
// its end by Completed or Finished; one that is not sent after all by Finished
// alone.
func (t *Tracker) AdmitAt(attempt string, f request.Fingerprint, upstream string, now time.Time) Decision {
	t.at(now)
	t.watchFreshness()
	if !t.fresh() {
		t.waiting = append(t.waiting, waiter{attempt: attempt, fingerprint: f, lane: upstream})
		t.work()
		return Decision{Attempt: attempt, Verdict: Wait}
	}
	d := t.judge(waiter{attempt: attempt, fingerprint: f, lane: upstream})
	t.work()
	return d
}

// judge decides on an attempt at a fresh node.
func (t *Tracker) judge(w waiter) Decision {
	e := t.store.get(w.fingerprint)
	all, proven := e.strikes()
	switch {
	case all >= convicting:
		return t.refuse(w.attempt, e, proven >= convicting)
	case all == 0 || !t.settings.has(guardVote):
		t.flights[w.attempt] = &flight{attempt: w.attempt, fingerprint: w.fingerprint}
		return Decision{Attempt: w.attempt, Verdict: Run}
	}
	return t.begin(w, e)
}

func (t *Tracker) refuse(attempt string, e *entry, convicted bool) Decision {
	t.store.touch(e, t.now)
	return Decision{Attempt: attempt, Verdict: Refuse, Convicted: convicted, RetryAfter: retryConvicted}
}

// admitWaiting decides on the attempts that waited for the node to be fresh.
func (t *Tracker) admitWaiting() {
	if len(t.waiting) == 0 || !t.fresh() {
		return
	}
	list := t.waiting
	t.waiting = nil
	for _, w := range list {
		if d := t.judge(w); d.Verdict != Wait {
			t.decide(d)
		}
	}
}

// Started tells that an attempt is about to be sent to an upstream. When it
// returns false the attempt must not be sent and is forgotten: this node has
// learnt since Admit that the request is a suspect, or was paused meanwhile.
func (t *Tracker) Started(attempt string, f request.Fingerprint, upstream string, now time.Time) bool {
	t.at(now)
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
	return !t.store.get(fl.fingerprint).suspect() || !t.settings.has(guardVote)
}

// Completed tells that an attempt has given its whole answer: it does not
// crash upstreams.
func (t *Tracker) Completed(attempt string, now time.Time) {
	t.at(now)
	fl := t.flights[attempt]
	if fl == nil {
		return
	}
	t.recent.add(fl.fingerprint, t.now)
	if e := t.store.get(fl.fingerprint); e.suspect() {
		t.learn(Record{Fingerprint: fl.fingerprint, Cleared: e.crashes, Left: e.expires - t.now}, "")
	}
	t.end(fl)
	t.work()
}

// Finished tells that an attempt has ended otherwise: declined, cancelled,
// crashed (after Crashed) or never sent. It may be told of any attempt.
func (t *Tracker) Finished(attempt string, now time.Time) {
	t.at(now)
	t.forgetWaiting(attempt)
	if fl := t.flights[attempt]; fl != nil {
		t.end(fl)
	}
	t.work()
}

func (t *Tracker) end(fl *flight) {
	delete(t.flights, fl.attempt)
	if fl.granted {
		t.giveBack(fl.attempt, fl.fingerprint, fl.voters)
	}
	t.speakUp(fl.fingerprint)
}

// flying says whether another attempt of the fingerprint may run here.
func (t *Tracker) flying(f request.Fingerprint, attempt string) bool {
	for _, fl := range t.flights {
		if fl.fingerprint == f && fl.attempt != attempt {
			return true
		}
	}
	return false
}
