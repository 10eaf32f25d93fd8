// Package crashguard keeps a request that crashes the upstreams which run it
// from being sent to one upstream after the other.
//
// Callers send such a request again, to any node. A strike is a crash seen
// while the request ran at an upstream; strikes are told to peers, and a
// request with too many is refused. It is a core without I/O and without lock.
package crashguard

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// mostStrikes is how many upstreams one request may crash: a crash by
	// chance strikes all requests that run there, three by chance strike
	// hardly any of them.
	mostStrikes = 3
	// memory is how long a strike counts.
	memory = 5 * time.Minute
	// mostKept bounds the strikes kept; the oldest go first.
	mostKept = 2048
	// mostTold bounds the strikes in one message to a peer; the newest go.
	mostTold = 128
)

// Fingerprint names requests that are the same work: organisation, path and
// body are, whatever their IDs.
func Fingerprint(organisation, path string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(organisation) // a hash's writes never fail
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(path)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(body)
	return d.Sum64()
}

// Strike is one crash of an upstream that ran the request.
type Strike struct {
	Fingerprint uint64
	// Upstream names the start of an upstream that crashed: one that is back
	// under its ID can be crashed again.
	Upstream string
	// Age is how long ago it was, when it is told to a peer.
	Age time.Duration
}

type kept struct {
	Strike
	at time.Time
}

// Guard keeps the strikes that a node knows of.
type Guard struct {
	strikes []kept
	counts  map[uint64]int
}

// New returns an empty guard.
func New() *Guard { return &Guard{counts: map[uint64]int{}} }

// Add takes a strike; it reports whether it is a new one.
func (g *Guard) Add(s Strike, now time.Time) bool {
	if s.Age > memory {
		return false
	}
	for _, k := range g.strikes {
		if k.Fingerprint == s.Fingerprint && k.Upstream == s.Upstream {
			return false
		}
	}
	g.strikes = append(g.strikes, kept{s, now.Add(-s.Age)})
	g.counts[s.Fingerprint]++
	g.prune(now)
	return true
}

// Blocked tells whether a request has crashed too many upstreams to be sent.
func (g *Guard) Blocked(fingerprint uint64) bool { return g.counts[fingerprint] >= mostStrikes }

// Strikes is how many upstreams the request has crashed.
func (g *Guard) Strikes(fingerprint uint64) int { return g.counts[fingerprint] }

// Known returns the newest strikes, for a peer.
func (g *Guard) Known(now time.Time) []Strike {
	g.prune(now)
	var out []Strike
	for _, k := range g.strikes[max(0, len(g.strikes)-mostTold):] {
		s := k.Strike
		s.Age = now.Sub(k.at)
		out = append(out, s)
	}
	return out
}

func (g *Guard) prune(now time.Time) {
	g.strikes = slices.DeleteFunc(g.strikes, func(k kept) bool {
		old := now.Sub(k.at) > memory
		if old {
			g.forget(k.Fingerprint)
		}
		return old
	})
	for len(g.strikes) > mostKept {
		g.forget(g.strikes[0].Fingerprint)
		g.strikes = g.strikes[1:]
	}
}

func (g *Guard) forget(fingerprint uint64) {
	g.counts[fingerprint]--
	if g.counts[fingerprint] <= 0 {
		delete(g.counts, fingerprint)
	}
}
