package suspect

import "time"

// A node that stops answering may have run the request and lost an upstream to it unseen.
// It may be paused, cut off, or lost together with the upstream. This shows as a vote that
// does not arrive, as a node that is no longer listed and did not send Leaving, or as a
// permitted run whose end is not reported.
//
// Such a doubt counts as a crash, and convicts together with the known one. Without it the
// request could crash a third upstream. The doubt is cleared when the node is heard again.

// doubtSilent adds doubts about peers that do not answer.
func (t *Tracker) doubtSilent(e *entry, silent []*peer) {
	for _, p := range silent {
		if p.everHeard {
			t.addDoubt(e, CrashID{Upstream: p.id, Epoch: p.born, Doubt: true})
		}
	}
}

// doubtLost adds doubts about the nodes that were lost near the request's crash. It
// reports whether there were any.
func (t *Tracker) doubtLost(e *entry) bool {
	found := false
	for _, l := range t.peers.lost {
		if mayHaveRun(l.lastHeard, e.crashedAt, t.settings.MaxRun) {
			found = t.addDoubt(e, CrashID{Upstream: l.id, Epoch: l.born, Doubt: true}) || found
		}
	}
	return found
}

// mayHaveRun reports whether a node that was last heard at lastHeard may have run a
// request that crashed an upstream at crashed.
func mayHaveRun(lastHeard, crashed, maxRun time.Duration) bool {
	return lastHeard > crashed-maxRun && lastHeard < crashed+maxRun
}

// addDoubt adds a doubt and reports whether it counts.
func (t *Tracker) addDoubt(e *entry, c CrashID) bool {
	if !t.settings.applies(ruleDoubt) {
		return false
	}
	if contains(e.cleared, c) {
		return false
	}
	t.learn(Record{Fingerprint: e.fingerprint, Crashes: []CrashID{c}, Left: e.expiresAt - t.now}, "")
	return true
}

// doubtExpiredVotes adds doubts about the nodes whose permitted runs have not ended
// within MaxRun.
func (t *Tracker) doubtExpiredVotes() {
	for _, v := range t.votes.TakeExpired(t.now) {
		e := t.store.get(v.Fingerprint)
		if e.suspect() && v.From != t.settings.Self {
			t.addDoubt(e, CrashID{Upstream: v.From, Epoch: v.Born, Doubt: true})
		}
	}
}
