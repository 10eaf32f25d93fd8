package balance

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/pacing"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Balancer chooses upstreams. See the package for who may call it.
type Balancer struct {
	settings Settings
	policy   policy
	// base is the time that durations inside count from.
	base    time.Time
	started bool

	hosts    map[string]*host
	order    []*host
	rest     []member // beyond the subset, in the order of looking at them
	versions map[string]*pool
	services map[string]*pool
	shared   map[string]*sharedPool // by version
	// unsure are the engines whose versions are not known yet.
	unsure pool
	// engines are those whose versions are known.
	engines pool
	domains domains
	// senders are the nodes among which the rates of upstreams are shared.
	senders pacing.Senders

	slots slots
	view  view
	// sawFirst says that the caller tells of first tokens.
	sawFirst  bool
	refreshed time.Duration
	polls     polls
	wanted    map[string]time.Duration
	changes   []Change
}

// New returns a balancer that knows no upstream yet.
func New(s Settings) *Balancer {
	s = s.withDefaults()
	return &Balancer{
		settings: s,
		policy:   newPolicy(s.Policy),
		hosts:    map[string]*host{},
		versions: map[string]*pool{},
		services: map[string]*pool{},
		shared:   map[string]*sharedPool{},
		domains:  domains{},
		wanted:   map[string]time.Duration{},
	}
}

// since turns a time into the balancer's own.
func (b *Balancer) since(now time.Time) time.Duration {
	if b.base.IsZero() {
		// Some time before the first call, so that 0 is always past.
		b.base = now.Add(-time.Hour)
	}
	return now.Sub(b.base)
}

// Report takes the load that an upstream gave, asked for by NeedPoll or
// otherwise.
func (b *Balancer) Report(vmID string, r upstream.LoadReport, now time.Time) {
	t := b.since(now)
	at := t - time.Duration(r.AgeMillis)*time.Millisecond
	h := b.hosts[vmID]
	if h == nil {
		h = b.adopt(vmID, r, t)
	}
	if h == nil {
		return
	}
	h.poll.answered(t)
	h.breaker.alive(t)
	if h.report.have && at < h.report.at {
		return
	}
	h.report.take(r, h.inFlight, at)
	if r.Leaving {
		h.leaves(t)
		b.refresh(t)
	} else {
		h.stays(at)
	}
	if h.learn(r.Versions, at) {
		b.rebuild(t)
	}
}

// PollFailed tells that an upstream did not answer when asked for its load.
func (b *Balancer) PollFailed(vmID string, now time.Time) {
	t := b.since(now)
	h := b.hosts[vmID]
	if h == nil {
		return
	}
	h.poll.answered(t)
	b.failed(h, unreachable, t)
}

// Leaving tells that an upstream takes no new work, by its own word. It holds
// until a later report of the upstream says otherwise.
func (b *Balancer) Leaving(vmID string, now time.Time) {
	if h := b.hosts[vmID]; h != nil {
		h.leaves(b.since(now))
		b.refresh(b.since(now))
	}
}
