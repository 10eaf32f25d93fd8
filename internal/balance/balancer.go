package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/pacing"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Balancer chooses upstreams. It is not safe for concurrent use; see the package comment.
type Balancer struct {
	settings Settings
	policy   policy
	// base is the origin of all internal times.
	base    time.Time
	started bool

	hosts       map[string]*host
	order       []*host
	unselected  []member // outside the subset, in search order
	versions    map[string]*pool
	services    map[string]*pool
	sharedPools map[string]*sharedPool // by version
	// unknownEngines are the engines that have not reported their versions yet.
	unknownEngines pool
	// knownEngines are the engines that have reported their versions.
	knownEngines pool
	domains      domains
	// senders are the nodes among which the rate limits of upstreams are divided.
	senders pacing.Senders

	attempts  attemptTable
	selection selection
	// firstTokensReported is set once the caller has called FirstToken.
	firstTokensReported bool
	refreshedAt         time.Duration
	polls               polls
	wanted              map[string]time.Duration
	changes             []Change
}

// New returns a balancer without upstreams. Zero fields of s take their defaults.
func New(s Settings) *Balancer {
	s = s.withDefaults()
	return &Balancer{
		settings:    s,
		policy:      newPolicy(s.Policy),
		hosts:       map[string]*host{},
		versions:    map[string]*pool{},
		services:    map[string]*pool{},
		sharedPools: map[string]*sharedPool{},
		domains:     domains{},
		wanted:      map[string]time.Duration{},
	}
}

// since converts a time to an offset from the balancer's base.
func (b *Balancer) since(now time.Time) time.Duration {
	if b.base.IsZero() {
		// The base lies before the first call, so that an offset of 0 is always in the
		// past.
		b.base = now.Add(-time.Hour)
	}
	return now.Sub(b.base)
}

// Report records a load report of an upstream, whether NeedPoll asked for it or not. A
// report that is older than the one held is ignored.
func (b *Balancer) Report(vmID string, r upstream.LoadReport, now time.Time) {
	t := b.since(now)
	at := t - time.Duration(r.AgeMillis)*time.Millisecond
	h := b.hosts[vmID]
	if h == nil {
		h = b.addExtra(vmID, r, t)
	}
	if h == nil {
		return
	}
	h.poll.answered(t)
	h.breaker.pollSucceeded(t)
	if h.report.received && at < h.report.at {
		return
	}
	h.report.update(r, h.inFlight, at)
	if r.Leaving {
		h.markLeaving(t)
		b.refreshPools(t)
	} else {
		h.clearLeaving(at)
	}
	if h.setVersions(r.Versions, at) {
		b.rebuildPools(t)
	}
}

// PollFailed records that an upstream did not answer a poll for its load. It counts as a
// failure of the breaker.
func (b *Balancer) PollFailed(vmID string, now time.Time) {
	t := b.since(now)
	h := b.hosts[vmID]
	if h == nil {
		return
	}
	h.poll.answered(t)
	b.recordFailure(h, unreachable, t)
}

// MarkLeaving records that an upstream has announced that it takes no new work. It gets none
// until one of its later reports says otherwise.
func (b *Balancer) MarkLeaving(vmID string, now time.Time) {
	if h := b.hosts[vmID]; h != nil {
		h.markLeaving(b.since(now))
		b.refreshPools(b.since(now))
	}
}
