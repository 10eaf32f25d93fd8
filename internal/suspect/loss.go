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
// those attempts; they still end by Finished.
func (t *Tracker) Crashed(id CrashID, now time.Time) []string {
	t.at(now)
	l := &loss{at: t.now}
	seen := t.burst.add(id.Upstream, t.now)
	for _, fl := range t.flightsAt(id.Upstream) {
		l.attempts = append(l.attempts, fl.attempt)
		if t.accuse(fl, id, seen) {
			l.fingerprints = append(l.fingerprints, fl.fingerprint)
		}
	}
	l.peers = append(l.peers, t.peers.neighbours...)
	t.losses = append(t.losses, l)
	t.work()
	return l.attempts
}

// accuse makes the attempt's request a suspect and says whether it did.
func (t *Tracker) accuse(fl *flight, id CrashID, upstreams int) bool {
	known := t.store.get(fl.fingerprint).suspect()
	if !known && upstreams > massLoss {
		return false
	}
	if !fl.granted && t.recent.has(fl.fingerprint, t.now) {
		return false
	}
	t.learn(Record{
		Fingerprint: fl.fingerprint,
		Crashes:     []CrashID{t.distinct(id, fl)},
		Left:        t.settings.Expiry,
	}, "")
	return true
}

// distinct names the crash. An attempt that was sent after the crash of that
// epoch had become known here has met another one: the epoch is a stale one,
// from before the upstream started again.
func (t *Tracker) distinct(id CrashID, fl *flight) CrashID {
	known, ok := t.crashes[id]
	if !ok || fl.started <= known {
		return id
	}
	const another = 1 << 63
	id.Epoch = (id.Epoch ^ xxhash.Sum64String(fl.attempt)) | another
	return id
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
