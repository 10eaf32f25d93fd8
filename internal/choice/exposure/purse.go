package exposure

import "time"

const (
	// maxCredit bounds the exposures that a node may have accumulated under the share, so
	// that a long time without grants is not followed by a burst.
	maxCredit = 2
	// minRetryInterval and maxRetryInterval bound how long a node waits before it asks
	// again after an empty grant.
	minRetryInterval = 2 * time.Second
	maxRetryInterval = time.Minute
)

// Purse is one node's budget of exposures of one staged version. The zero value is empty
// and may be used.
type Purse struct {
	units         int
	open          bool
	credit        float64
	retryInterval time.Duration
	nextRequest   time.Time
}

// Count counts one request that the version might serve, and adds its share, in [0,1], to
// the credit.
func (p *Purse) Count(share float64) { p.credit = min(p.credit+share, maxCredit) }

// Due reports whether the version's share allows an exposure now.
func (p *Purse) Due() bool { return p.credit >= 1 }

// Granted reports whether an exposure is granted now.
func (p *Purse) Granted() bool { return p.open || p.units > 0 }

// Open reports whether the version's cap has been lifted.
func (p *Purse) Open() bool { return p.open }

// Spend uses one exposure. Sessions may exceed the share; later exposures then wait until
// the credit has recovered.
func (p *Purse) Spend() {
	p.credit--
	if !p.open {
		p.units--
	}
}

// Wants reports whether the node should ask for a grant now.
func (p *Purse) Wants(now time.Time) bool {
	return !p.Granted() && !now.Before(p.nextRequest)
}

// Asked records that a grant was requested, so that no second request follows at once.
func (p *Purse) Asked(now time.Time) { p.nextRequest = now.Add(minRetryInterval) }

// Receive adds a grant. The interval before the next request doubles after an empty one.
func (p *Purse) Receive(g Grant, now time.Time) {
	p.units += g.Units
	p.open = g.Open
	if p.Granted() {
		p.retryInterval = 0
		p.nextRequest = now
		return
	}
	p.retryInterval = min(max(2*p.retryInterval, minRetryInterval), maxRetryInterval)
	p.nextRequest = now.Add(p.retryInterval)
}
