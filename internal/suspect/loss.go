package suspect

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/request"
)

// loss is a crash whose suspects are being told, and whose callers wait.
type loss struct {
	at           time.Duration
	attempts     []string
	fingerprints []request.Fingerprint
	// peers must know, or fall silent, before the callers do.
	peers []*peer
}

// Crashed tells that an upstream was found to have crashed. Every attempt of
// this node in flight there becomes a suspect. The failure of each may be told
// to its caller once Ready names it in Released: as a rule after one round
// trip to the peers, at the latest after Settings.Lapse and Grace. It returns
// those attempts; they still end by Finished. The epoch in id is the caller's
// belief; what Observe has told of each attempt goes before it.
func (t *Tracker) Crashed(id CrashID, now time.Time) []string {
	t.at(now)
	l := &loss{at: t.now}
	seen := t.burst.add(id.Upstream, t.now)
	for _, fl := range t.flightsAt(id.Upstream) {
		l.attempts = append(l.attempts, fl.attempt)
		if t.accuse(fl, seen) {
			l.fingerprints = append(l.fingerprints, fl.fingerprint)
		}
	}
	l.peers = append(l.peers, t.peers.neighbours...)
	t.losses = append(t.losses, l)
	t.work()
	return l.attempts
}

// accuse makes the attempt's request a suspect and says whether it did.
func (t *Tracker) accuse(fl *flight, upstreams int) bool {
	known := t.store.get(fl.fingerprint).suspect()
	if !known && upstreams > massLoss {
		return false
	}
	if !fl.granted && t.recent.has(fl.fingerprint, t.now) {
		return false
	}
	t.learn(Record{
		Fingerprint: fl.fingerprint,
		Crashes:     []CrashID{t.crashOf(fl)},
		Left:        t.settings.Expiry,
	}, "")
	return true
}

// Observe tells that a load report of the upstream was made at asOf, in that
// epoch. Attempts in flight since before then run in that epoch.
func (t *Tracker) Observe(upstream string, epoch uint64, asOf, now time.Time) {
	t.at(now)
	at := asOf.Sub(t.base)
	for _, fl := range t.flights {
		if fl.upstream == upstream && fl.started < at && !fl.sure {
			fl.epoch = epoch
			fl.sure = true
		}
	}
}

// crashOf names the crash that ended the attempt.
//
// Several nodes see one crash, and an epoch that is known makes it one. An
// epoch from before the attempt may be an earlier one: two crashes would then
// count as one and a third upstream be lost. So without a report made while
// the attempt ran its crash has a name of its own.
func (t *Tracker) crashOf(fl *flight) CrashID {
	if fl.sure {
		return CrashID{Upstream: fl.upstream, Epoch: fl.epoch}
	}
	const unsure = 1 << 63
	return CrashID{Upstream: fl.upstream, Epoch: xxhash.Sum64String(fl.attempt) | unsure}
}

// releaseLosses lets the callers hear of the failures that the peers know of.
func (t *Tracker) releaseLosses() {
	left := t.losses[:0]
	for _, l := range t.losses {
		if t.told(l) {
			t.out.Released = append(t.out.Released, l.attempts...)
			continue
		}
		left = append(left, l)
	}
	clear(t.losses[len(left):])
	t.losses = left
}

// told says whether the peers know the loss's suspects or have fallen silent.
//
// It guards against a caller that hears of the failure and sends the request
// to a node that has not heard of it. A peer that does not answer for Lapse
// and Grace must ask another before it runs anything new.
func (t *Tracker) told(l *loss) bool {
	if len(l.fingerprints) == 0 || !t.settings.has(guardRelease) {
		return true
	}
	if t.now >= l.at+t.settings.Lapse+t.settings.Grace {
		return true
	}
	if len(t.peers.all) > t.settings.Degree {
		return false // news goes by relays, whose answers do not come back
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
