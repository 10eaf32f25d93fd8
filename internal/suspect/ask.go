package suspect

import (
	"slices"
	"time"
)

// ballot is a suspect's attempt that waits for votes.
type ballot struct {
	waiter
	startedAt time.Duration
	sentAt    time.Duration
	// missing are the peers whose vote has not arrived, granted the nodes that have voted
	// for the run.
	missing []*peer
	granted []string
	closed  bool
}

// startBallot asks for permission to run a suspect. This node's own vote is taken first,
// so that two attempts here cannot both get the peers' votes.
func (t *Tracker) startBallot(w waiter, e *entry) Decision {
	if t.doubtLost(e) {
		return t.refuse(w.attempt, e, false)
	}
	own := Vote{Fingerprint: w.fingerprint, Attempt: w.attempt, Lane: w.lane, From: t.settings.Self, Born: t.settings.Born}
	if t.inFlight(w.fingerprint, w.attempt) || !t.votes.Grant(own, t.now) {
		return Decision{Attempt: w.attempt, Verdict: Refuse, RetryAfter: suspectRetryAfter}
	}
	b := &ballot{waiter: w, startedAt: t.now}
	b.missing = t.voters(w)
	if len(b.missing) == 0 {
		return t.permit(b)
	}
	t.ballots = append(t.ballots, b)
	t.requestVotes(b)
	return Decision{Attempt: w.attempt, Verdict: Wait}
}

// voters are the peers to ask. A peer that has been silent for longer than any run is
// left out: it is behind a network partition, and waiting for it would refuse suspects as
// long as the partition lasts.
func (t *Tracker) voters(w waiter) []*peer {
	voters := t.peers.voters(w, &t.settings)
	return slices.DeleteFunc(voters, func(p *peer) bool { return p.everHeard && t.now > p.lastHeard+t.settings.MaxRun })
}

func (t *Tracker) requestVotes(b *ballot) {
	e := t.store.get(b.fingerprint)
	if e == nil {
		return
	}
	b.sentAt = t.now
	for _, p := range b.missing {
		t.send(Message{To: p.id, Kind: VoteRequest, Attempt: b.attempt, Lane: b.lane, Fingerprint: b.fingerprint, Records: []Record{e.record(t.now)}})
	}
}

// permit lets the attempt run alone.
func (t *Tracker) permit(b *ballot) Decision {
	t.flights[b.attempt] = &flight{attempt: b.attempt, fingerprint: b.fingerprint, granted: true, lane: b.lane, voters: b.granted}
	return Decision{Attempt: b.attempt, Verdict: RunAlone}
}

// handleVoteReply handles a peer's vote or refusal.
func (t *Tracker) handleVoteReply(m Message) {
	at := slices.IndexFunc(t.ballots, func(b *ballot) bool { return b.attempt == m.Attempt && !b.closed })
	if at < 0 {
		if m.Granted && t.flights[m.Attempt] == nil {
			t.releaseVotes(m.Attempt, m.Fingerprint, []string{m.From})
		}
		return
	}
	b := t.ballots[at]
	i := slices.IndexFunc(b.missing, func(p *peer) bool { return p.id == m.From })
	if i < 0 {
		return
	}
	if !m.Granted {
		t.closeBallot(b, Decision{Attempt: b.attempt, Verdict: Refuse, RetryAfter: suspectRetryAfter})
		return
	}
	b.missing = slices.Delete(b.missing, i, i+1)
	b.granted = append(b.granted, m.From)
}

// advanceBallots closes the ballots that are decided, and repeats requests without an
// answer.
func (t *Tracker) advanceBallots() {
	for _, b := range t.ballots {
		t.advanceBallot(b)
	}
	t.ballots = slices.DeleteFunc(t.ballots, func(b *ballot) bool { return b.closed })
}

func (t *Tracker) advanceBallot(b *ballot) {
	if b.closed {
		return
	}
	e := t.store.get(b.fingerprint)
	all, proven := e.crashCount()
	switch {
	case all >= convictionCrashes:
		t.closeBallot(b, t.refuse(b.attempt, e, proven >= convictionCrashes))
	case all == 0:
		// The request was cleared meanwhile.
		t.closeBallot(b, t.evaluate(b.waiter))
	case len(b.missing) == 0:
		b.closed = true
		t.decide(t.permit(b))
	case t.now >= b.startedAt+t.settings.VoteTimeout:
		t.doubtSilent(e, b.missing)
		t.closeBallot(b, Decision{Attempt: b.attempt, Verdict: Refuse, RetryAfter: suspectRetryAfter})
	case t.now >= b.sentAt+t.settings.ResendInterval:
		t.requestVotes(b)
	}
}

// closeBallot ends a ballot with a decision. It releases all votes, including those that
// may still arrive.
func (t *Tracker) closeBallot(b *ballot, d Decision) {
	b.closed = true
	voters := slices.Clone(b.granted)
	for _, p := range b.missing {
		voters = append(voters, p.id)
	}
	t.releaseVotes(b.attempt, b.fingerprint, voters)
	t.decide(d)
}

// cancelWaiting drops an attempt whose caller left before it was decided.
func (t *Tracker) cancelWaiting(attempt string) {
	t.waiting = slices.DeleteFunc(t.waiting, func(w waiter) bool { return w.attempt == attempt })
	for _, b := range t.ballots {
		if b.attempt == attempt && !b.closed {
			t.closeBallot(b, Decision{Attempt: attempt, Verdict: Refuse, RetryAfter: suspectRetryAfter})
		}
	}
}
