package suspect

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Tracker guards the upstreams at one node.
type Tracker struct {
	settings Settings
}

// New returns a tracker that knows no suspect and no peer.
func New(s Settings, now time.Time) *Tracker { return &Tracker{settings: s} }

// SetPeers takes the IDs of the entry nodes, self left out.
func (t *Tracker) SetPeers(ids []string, now time.Time) {}

// Admit is called before an attempt is sent. On Wait the answer comes by
// Ready. Every attempt that may run is then told by Started and Finished (or
// Crashed), or by Finished alone when it was not sent.
func (t *Tracker) Admit(attempt string, f request.Fingerprint, now time.Time) Decision {
	return Decision{Attempt: attempt, Verdict: Run}
}

// Started tells that an attempt is about to be sent to an upstream.
func (t *Tracker) Started(attempt string, f request.Fingerprint, upstream string, now time.Time) {}

// Finished tells that an attempt ended without a crash: completed, declined,
// cancelled or never sent.
func (t *Tracker) Finished(attempt string, now time.Time) {}

// Crashed tells that an upstream was found to have crashed. Every attempt of
// this node in flight there becomes a suspect. The failure of each may be told
// to its caller once Ready names it in Released, at the latest after
// Settings.Lapse. It returns those attempts.
func (t *Tracker) Crashed(id CrashID, now time.Time) []string { return nil }

// Step takes a message from a peer.
func (t *Tracker) Step(m Message, now time.Time) {}

// Tick lets time pass: call it every 50 ms or so.
func (t *Tracker) Tick(now time.Time) {}

// Ready returns what is to be done, and forgets it. Call it after each other
// method.
func (t *Tracker) Ready() Ready { return Ready{} }
