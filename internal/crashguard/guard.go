// Package crashguard refuses requests that have crashed several upstreams, so that
// retries of one request cannot crash the whole service.
//
// Callers retry such a request at any node. A strike records that an upstream crashed
// while it ran the request. Nodes exchange strikes with their peers. A request with too
// many strikes is refused. The package does no I/O and takes no locks.
package crashguard

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// strikeLimit is the number of strikes at which a request is refused. One crash
	// strikes every request that was running at the upstream. Three unrelated crashes
	// hardly ever strike the same request.
	strikeLimit = 3
	// strikeTTL is how long a strike counts.
	strikeTTL = 5 * time.Minute
	// maxStored bounds the strikes in memory; the oldest are dropped first.
	maxStored = 2048
	// maxSent bounds the strikes in one message to a peer; the newest are sent.
	maxSent = 128
)

// Fingerprint identifies requests with the same organisation, path and body, whatever
// their IDs.
func Fingerprint(organisation, path string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(organisation) // hash writes never fail
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(path)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(body)
	return d.Sum64()
}

// Strike is one crash of an upstream that was running the request.
type Strike struct {
	Fingerprint uint64
	// Upstream identifies one incarnation of an upstream: after a restart under the same ID it
	// can be crashed again.
	Upstream string
	// Age is the time since the crash, set in messages to peers.
	Age time.Duration
}

// storedStrike is a strike with the local time of the crash.
type storedStrike struct {
	Strike
	at time.Time
}

// Guard stores the strikes that a node knows of. It is not safe for concurrent use.
type Guard struct {
	strikes []storedStrike
	counts  map[uint64]int
}

// New returns a guard without strikes.
func New() *Guard { return &Guard{counts: map[uint64]int{}} }

// Add stores a strike and reports whether it is new. Expired strikes are ignored.
func (g *Guard) Add(s Strike, now time.Time) bool {
	if s.Age > strikeTTL {
		return false
	}
	for _, k := range g.strikes {
		if k.Fingerprint == s.Fingerprint && k.Upstream == s.Upstream {
			return false
		}
	}
	g.strikes = append(g.strikes, storedStrike{s, now.Add(-s.Age)})
	g.counts[s.Fingerprint]++
	g.prune(now)
	return true
}

// Blocked reports whether the request has reached the strike limit.
func (g *Guard) Blocked(fingerprint uint64) bool { return g.counts[fingerprint] >= strikeLimit }

// Strikes returns the number of strikes of the request.
func (g *Guard) Strikes(fingerprint uint64) int { return g.counts[fingerprint] }

// Recent returns the newest strikes, to be sent to a peer.
func (g *Guard) Recent(now time.Time) []Strike {
	g.prune(now)
	var out []Strike
	for _, k := range g.strikes[max(0, len(g.strikes)-maxSent):] {
		s := k.Strike
		s.Age = now.Sub(k.at)
		out = append(out, s)
	}
	return out
}

// prune drops expired strikes and the oldest ones beyond maxStored.
func (g *Guard) prune(now time.Time) {
	g.strikes = slices.DeleteFunc(g.strikes, func(k storedStrike) bool {
		old := now.Sub(k.at) > strikeTTL
		if old {
			g.decrement(k.Fingerprint)
		}
		return old
	})
	for len(g.strikes) > maxStored {
		g.decrement(g.strikes[0].Fingerprint)
		g.strikes = g.strikes[1:]
	}
}

// decrement lowers the request's count after one of its strikes was dropped.
func (g *Guard) decrement(fingerprint uint64) {
	g.counts[fingerprint]--
	if g.counts[fingerprint] <= 0 {
		delete(g.counts, fingerprint)
	}
}
