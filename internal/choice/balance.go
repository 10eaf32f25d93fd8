package choice

const (
	// balanceDecay is the factor by which earlier requests are weighted down at each
	// request, which makes a window of about two hundred requests.
	balanceDecay = 0.995
	// minFreeShare bounds the compensation: the free requests count as at least this
	// share of all requests.
	minFreeShare = 0.1
	// maxBalances bounds the memory for balances; when it is reached, all are dropped.
	maxBalances = 10_000
)

type balanceKey struct {
	org   string
	class string
}

// balance tracks how far the requests of an organisation and class miss the target when
// their version was not planned: sessions keep their version, and staged and rarely rated
// versions get some requests. The free requests, whose version is planned, aim higher or
// lower by as much, so that the mean of all meets the target.
type balance struct {
	shortfall float64
	free      float64
	all       float64
}

// addFixed counts a request whose expected quality was below the target by shortfall.
func (b *balance) addFixed(shortfall float64) {
	b.decay()
	b.shortfall += shortfall
}

// nextTarget counts a free request and returns the quality that it should reach.
func (b *balance) nextTarget(target float64) float64 {
	b.decay()
	b.free++
	return target + b.shortfall/max(b.free, minFreeShare*b.all)
}

func (b *balance) decay() {
	b.shortfall *= balanceDecay
	b.free *= balanceDecay
	b.all = b.all*balanceDecay + 1
}

// balance returns the balance of the request's organisation and class.
func (c *decision) balance() *balance {
	key := balanceKey{org: c.req.Org.Name, class: c.req.Class.Name}
	b, ok := c.balances[key]
	if ok {
		return b
	}
	if len(c.balances) >= maxBalances {
		clear(c.balances)
	}
	b = new(balance)
	c.balances[key] = b
	return b
}

// countFixed counts a request on a version that was not planned for the target.
func (c *decision) countFixed(expected float64) {
	c.balance().addFixed(c.req.Org.Target(c.req.Class.Name) - expected)
}
