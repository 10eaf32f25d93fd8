package suspect

import (
	"slices"
	"time"
)

// ask is a suspect's attempt that waits for votes.
type ask struct {
	waiter
	began   time.Duration
	sent    time.Duration
	missing []*peer
	voted   []string
	over    bool
}

// begin asks for permission to run a suspect. This node's own vote comes
// first, so that two attempts here cannot both get the others'.
func (t *Tracker) begin(w waiter, e *entry) Decision {
	if t.doubtLost(e) {
		return t.refuse(w.attempt, e, false)
	}
	own := Vote{Fingerprint: w.fingerprint, Attempt: w.attempt, Lane: w.lane, From: t.settings.Self, Born: t.settings.Born}
	if t.flying(w.fingerprint, w.attempt) || !t.holder.Ask(own, t.now) {
		return Decision{Attempt: w.attempt, Verdict: Refuse, RetryAfter: retrySuspect}
	}
	a := &ask{waiter: w, began: t.now}
	a.missing = t.voters(w)
	if len(a.missing) == 0 {
		return t.permit(a)
	}
	t.asks = append(t.asks, a)
	t.askMissing(a)
	return Decision{Attempt: w.attempt, Verdict: Wait}
}

// voters are the peers to ask. One that has been silent for longer than any
// run is on the other side of a cut: waiting for it would keep suspects out
// for as long as the cut lasts.
func (t *Tracker) voters(w waiter) []*peer {
	voters := t.peers.voters(w, &t.settings)
	return slices.DeleteFunc(voters, func(p *peer) bool { return p.ever && t.now > p.heard+t.settings.MaxRun })
}

func (t *Tracker) askMissing(a *ask) {
	e := t.store.get(a.fingerprint)
	if e == nil {
		return
	}
	a.sent = t.now
	for _, p := range a.missing {
		t.send(Message{To: p.id, Kind: Ask, Attempt: a.attempt, Lane: a.lane, Fingerprint: a.fingerprint, Records: []Record{e.record(t.now)}})
	}
}

// permit lets the attempt run alone.
func (t *Tracker) permit(a *ask) Decision {
	t.flights[a.attempt] = &flight{attempt: a.attempt, fingerprint: a.fingerprint, granted: true, lane: a.lane, voters: a.voted}
	return Decision{Attempt: a.attempt, Verdict: RunAlone}
}

// answered takes a peer's vote or its refusal.
func (t *Tracker) answered(m Message) {
	at := slices.IndexFunc(t.asks, func(a *ask) bool { return a.attempt == m.Attempt && !a.over })
	if at < 0 {
		if m.Granted && t.flights[m.Attempt] == nil {
			t.giveBack(m.Attempt, m.Fingerprint, []string{m.From})
		}
		return
	}
	a := t.asks[at]
	i := slices.IndexFunc(a.missing, func(p *peer) bool { return p.id == m.From })
	if i < 0 {
		return
	}
	if !m.Granted {
		t.fail(a, Decision{Attempt: a.attempt, Verdict: Refuse, RetryAfter: retrySuspect})
		return
	}
	a.missing = slices.Delete(a.missing, i, i+1)
	a.voted = append(a.voted, m.From)
}

// driveAsks ends the asks that are decided and asks again where no answer came.
func (t *Tracker) driveAsks() {
	for _, a := range t.asks {
		t.driveAsk(a)
	}
	t.asks = slices.DeleteFunc(t.asks, func(a *ask) bool { return a.over })
}

func (t *Tracker) driveAsk(a *ask) {
	if a.over {
		return
	}
	e := t.store.get(a.fingerprint)
	all, proven := e.strikes()
	switch {
	case all >= convicting:
		t.fail(a, t.refuse(a.attempt, e, proven >= convicting))
	case all == 0:
		// Cleared meanwhile.
		t.fail(a, t.judge(a.waiter))
	case len(a.missing) == 0:
		a.over = true
		t.decide(t.permit(a))
	case t.now >= a.began+t.settings.AskFor:
		t.doubt(e, a.missing)
		t.fail(a, Decision{Attempt: a.attempt, Verdict: Refuse, RetryAfter: retrySuspect})
	case t.now >= a.sent+t.settings.Resend:
		t.askMissing(a)
	}
}

// fail ends an ask with a decision and gives the votes back, those that may
// still come too.
func (t *Tracker) fail(a *ask, d Decision) {
	a.over = true
	voters := slices.Clone(a.voted)
	for _, p := range a.missing {
		voters = append(voters, p.id)
	}
	t.giveBack(a.attempt, a.fingerprint, voters)
	t.decide(d)
}

// forgetWaiting drops an attempt whose caller went away before it was decided.
func (t *Tracker) forgetWaiting(attempt string) {
	t.waiting = slices.DeleteFunc(t.waiting, func(w waiter) bool { return w.attempt == attempt })
	for _, a := range t.asks {
		if a.attempt == attempt && !a.over {
			t.fail(a, Decision{Attempt: attempt, Verdict: Refuse, RetryAfter: retrySuspect})
		}
	}
}
