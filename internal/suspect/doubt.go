package suspect

import "time"

// A node that falls silent may have run the request and lost an upstream to
// it without telling anyone: it is paused, cut off, or was lost together with
// the upstream. It shows as a vote that does not come, as a node that is no
// longer listed and said no goodbye, or as a permitted run of which nobody
// tells the end. Such a doubt counts as a crash, which convicts together with
// the known one; without it the request could take a third upstream. The
// doubt ends when the node speaks again.

// doubt raises doubts about peers that do not answer.
func (t *Tracker) doubt(e *entry, silent []*peer) {
	for _, p := range silent {
		if p.ever {
			t.raise(e, CrashID{Upstream: p.id, Epoch: p.born, Doubt: true})
		}
	}
}

// doubtLost raises doubts about the nodes that were lost near the request's
// crash, and says whether there were any.
func (t *Tracker) doubtLost(e *entry) bool {
	found := false
	for _, l := range t.peers.lost {
		if near(l.heard, e.crashed, t.settings.MaxRun) {
			found = t.raise(e, CrashID{Upstream: l.id, Epoch: l.born, Doubt: true}) || found
		}
	}
	return found
}

// near says whether a node that was last heard at the one time may have run
// what crashed at the other.
func near(heard, crashed, maxRun time.Duration) bool {
	return heard > crashed-maxRun && heard < crashed+maxRun
}

// raise adds a doubt and says whether it counts.
func (t *Tracker) raise(e *entry, c CrashID) bool {
	if !t.settings.has(guardDoubt) {
		return false
	}
	if contains(e.cleared, c) {
		return false
	}
	t.learn(Record{Fingerprint: e.fingerprint, Crashes: []CrashID{c}, Left: e.expires - t.now}, "")
	return true
}

// expireVotes doubts the nodes whose permitted runs never ended.
func (t *Tracker) expireVotes() {
	for _, v := range t.holder.Expired(t.now) {
		e := t.store.get(v.Fingerprint)
		if e.suspect() && v.From != t.settings.Self {
			t.raise(e, CrashID{Upstream: v.From, Epoch: v.Born, Doubt: true})
		}
	}
}
