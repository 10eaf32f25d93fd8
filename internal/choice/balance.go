package choice

const (
	// balanceMemory is the weight of what was before when a request comes:
	// a balance remembers about two hundred requests.
	balanceMemory = 0.995
	// leastFree is the share of requests that are free to be planned, below
	// which no more is made up for.
	leastFree = 0.1
	// mostBalances bounds the memory for organisations and classes.
	mostBalances = 10_000
)

type balanceKey struct {
	org   string
	class string
}

// balance knows by how much those requests of an organisation and class miss
// the target whose version was not planned for it: sessions keep theirs, and
// staged and little-known versions are given some. The requests that are free
// to be planned aim higher or lower by as much, so that all together meet it.
type balance struct {
	shortfall float64
	free      float64
	all       float64
}

// fixed counts a request that ran at an expected quality.
func (b *balance) fixed(shortfall float64) {
	b.fade()
	b.shortfall += shortfall
}

// aim counts a free request and returns the quality it is to reach.
func (b *balance) aim(target float64) float64 {
	b.fade()
	b.free++
	return target + b.shortfall/max(b.free, leastFree*b.all)
}

func (b *balance) fade() {
	b.shortfall *= balanceMemory
	b.free *= balanceMemory
	b.all = b.all*balanceMemory + 1
}

// balance returns that of the request's organisation and class.
func (c *call) balance() *balance {
	key := balanceKey{org: c.req.Org.Name, class: c.req.Class.Name}
	b, ok := c.balances[key]
	if ok {
		return b
	}
	if len(c.balances) >= mostBalances {
		clear(c.balances)
	}
	b = new(balance)
	c.balances[key] = b
	return b
}

// fixed counts that the request runs on a version that was not planned for its
// target.
func (c *call) fixed(expected float64) {
	c.balance().fixed(c.req.Org.Target(c.req.Class.Name) - expected)
}
