package exposure

import "time"

const (
	// maxCredit bounds the exposures that a node may have accumulated under the share, so
	// that a long time without grants is not followed by a burst.
	maxCredit = 2
	// minRetryInterval and maxRetryInterval bound how long a node waits before it
	// requests a grant again after an empty grant.
	minRetryInterval = 2 * time.Second
	maxRetryInterval = time.Minute
)

// Budget is one node's budget of exposures of one staged version. The zero value is empty
// and may be used.
type Budget struct {
	units         int
	open          bool
	credit        float64
	retryInterval time.Duration
	nextRequest   time.Time
}

// Count counts one request that the version might serve, and adds its share, in [0,1], to
// the credit.
func (b *Budget) Count(share float64) { b.credit = min(b.credit+share, maxCredit) }

// Due reports whether the version's share allows an exposure now.
func (b *Budget) Due() bool { return b.credit >= 1 }

// Granted reports whether an exposure is granted now.
func (b *Budget) Granted() bool { return b.open || b.units > 0 }

// Open reports whether the version's cap has been lifted.
func (b *Budget) Open() bool { return b.open }

// Spend uses one exposure. Sessions may exceed the share; later exposures then wait until
// the credit has recovered.
func (b *Budget) Spend() {
	b.credit--
	if !b.open {
		b.units--
	}
}

// ShouldRequest reports whether the node should request a grant now.
func (b *Budget) ShouldRequest(now time.Time) bool {
	return !b.Granted() && !now.Before(b.nextRequest)
}

// Requested records that a grant was requested, so that no second request follows at once.
func (b *Budget) Requested(now time.Time) { b.nextRequest = now.Add(minRetryInterval) }

// Receive adds a grant. The interval before the next request doubles after an empty one.
func (b *Budget) Receive(g Grant, now time.Time) {
	b.units += g.Units
	b.open = g.Open
	if b.Granted() {
		b.retryInterval = 0
		b.nextRequest = now
		return
	}
	b.retryInterval = min(max(2*b.retryInterval, minRetryInterval), maxRetryInterval)
	b.nextRequest = now.Add(b.retryInterval)
}
