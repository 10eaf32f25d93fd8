package suspect

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/request"
)

// loss is a crash whose suspects are being sent to the peers while their callers wait.
type loss struct {
	at           time.Duration
	attempts     []string
	fingerprints []request.Fingerprint
	// peers must know the suspects, or have had their time to answer, before the callers
	// are told.
	peers []*peer
}

// Crashed must be called when an upstream was found to have crashed. The requests of this
// node in flight there become suspects, unless they completed elsewhere recently or many
// upstreams crash at once. It returns their attempts; each still ends by Finished.
//
// The failure of an attempt may be reported to its caller once Ready names it in
// Reportable: as a rule after one round trip to the peers, at the latest after
// Settings.FreshnessTTL and Grace. The epoch in id is not used: what Observe has recorded
// for each attempt decides.
func (t *Tracker) Crashed(id CrashID, now time.Time) []string {
	t.setTime(now)
	l := &loss{at: t.now}
	seen := t.burst.add(id.Upstream, t.now)
	for _, fl := range t.flightsAt(id.Upstream) {
		l.attempts = append(l.attempts, fl.attempt)
		if t.addSuspect(fl, seen) {
			l.fingerprints = append(l.fingerprints, fl.fingerprint)
		}
	}
	l.peers = append(l.peers, t.peers.neighbours...)
	t.losses = append(t.losses, l)
	t.advance()
	return l.attempts
}

// addSuspect makes the attempt's request a suspect and reports whether it did. upstreams
// is the number of recent crashes.
func (t *Tracker) addSuspect(fl *flight, upstreams int) bool {
	known := t.store.get(fl.fingerprint).suspect()
	if !known && upstreams > maxUnrelatedCrashes {
		return false
	}
	if !fl.granted && t.completions.has(fl.fingerprint, t.now) {
		return false
	}
	t.learn(Record{
		Fingerprint: fl.fingerprint,
		Crashes:     []CrashID{t.crashOf(fl)},
		Left:        t.settings.RecordTTL,
	}, "")
	return true
}

// Observe records that a load report of the upstream was made at asOf, in that epoch.
// Attempts in flight since before then run in that epoch.
func (t *Tracker) Observe(upstream string, epoch uint64, asOf, now time.Time) {
	t.setTime(now)
	at := asOf.Sub(t.base)
	for _, fl := range t.flights {
		if fl.upstream == upstream && fl.started < at && !fl.epochKnown {
			fl.epoch = epoch
			fl.epochKnown = true
		}
	}
}

// crashOf identifies the crash that ended the attempt.
//
// Several nodes see one crash, and its epoch makes it one for all of them. An epoch
// reported before the attempt began may be an earlier one: two crashes would then count
// as one, and a third upstream could be lost. So without a report made during the
// attempt, its crash gets an ID of its own.
func (t *Tracker) crashOf(fl *flight) CrashID {
	if fl.epochKnown {
		return CrashID{Upstream: fl.upstream, Epoch: fl.epoch}
	}
	const syntheticEpoch = 1 << 63
	return CrashID{Upstream: fl.upstream, Epoch: xxhash.Sum64String(fl.attempt) | syntheticEpoch}
}

// reportLosses makes the failures reportable whose suspects the peers know.
func (t *Tracker) reportLosses() {
	remaining := t.losses[:0]
	for _, l := range t.losses {
		if t.suspectsKnown(l) {
			t.ready.Reportable = append(t.ready.Reportable, l.attempts...)
			continue
		}
		remaining = append(remaining, l)
	}
	clear(t.losses[len(remaining):])
	t.losses = remaining
}

// suspectsKnown reports whether the peers know the loss's suspects, or have had their
// time to answer.
//
// Without it, a caller that gets the failure could send the request to a node that does
// not know of it. A peer that does not answer for FreshnessTTL and Grace must ask another
// node before it runs anything new.
func (t *Tracker) suspectsKnown(l *loss) bool {
	if len(l.fingerprints) == 0 || !t.settings.applies(ruleHoldFailures) {
		return true
	}
	if t.now >= l.at+t.settings.FreshnessTTL+t.settings.Grace {
		return true
	}
	if len(t.peers.all) > t.settings.Degree {
		return false // records go by relays, whose acknowledgements do not return here
	}
	for _, p := range l.peers {
		for _, f := range l.fingerprints {
			if _, pending := p.pending[f]; pending {
				return false
			}
		}
	}
	return true
}
