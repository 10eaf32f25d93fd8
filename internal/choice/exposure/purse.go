package exposure

import "time"

const (
	// mostCredit bounds how many exposures a node may owe to its share at
	// once, so that a long time without grants is not made up for in a rush.
	mostCredit = 2
	// firstPause and longestPause are how long a node waits before it asks
	// again after it was granted nothing.
	firstPause   = 2 * time.Second
	longestPause = time.Minute
)

// Purse holds what one node may spend of one staged version.
type Purse struct {
	units  int
	open   bool
	credit float64
	pause  time.Duration
	next   time.Time
}

// Count counts one request that the version might serve, of which it may get
// the given share.
func (p *Purse) Count(share float64) { p.credit = min(p.credit+share, mostCredit) }

// Due says that the version's share allows an exposure now.
func (p *Purse) Due() bool { return p.credit >= 1 }

// Granted says that an exposure is granted now.
func (p *Purse) Granted() bool { return p.open || p.units > 0 }

// Open says that the version's ratings are in and good.
func (p *Purse) Open() bool { return p.open }

// Spend takes one exposure. Sessions may take it beyond the share; what comes
// after then waits until the share has caught up.
func (p *Purse) Spend() {
	p.credit--
	if !p.open {
		p.units--
	}
}

// Wants says whether the node should ask for a grant now.
func (p *Purse) Wants(now time.Time) bool {
	return !p.Granted() && !now.Before(p.next)
}

// Asked takes in that a grant was asked for, so that it is not asked for twice.
func (p *Purse) Asked(now time.Time) { p.next = now.Add(firstPause) }

// Receive takes in the answer to an asking.
func (p *Purse) Receive(g Grant, now time.Time) {
	p.units += g.Units
	p.open = g.Open
	if p.Granted() {
		p.pause = 0
		p.next = now
		return
	}
	p.pause = min(max(2*p.pause, firstPause), longestPause)
	p.next = now.Add(p.pause)
}
