package admission

// PoolLoad is what a pool's upstreams reported of their load together.
type PoolLoad struct {
	Running int
	Queued  int
	// Limit is how many requests they batch at a time; 0 is not known.
	Limit int
	// Own is what of Running and Queued came from this node.
	Own int
}

const (
	// idleShare of what the upstreams batch may be free while they count as
	// busy.
	idleShare = 0.1
	// idleSlack is what a node may run beyond its share of idle upstreams, and
	// busySlack beyond its share of busy ones.
	idleSlack = 8
	busySlack = 1
)

// share is how many requests this node may run: its part of what the upstreams
// batch, as its own are a part of all that they have. The two come from the
// same moment, so that a report that lags says the same as often as it is
// read, and all nodes shrink by the same factor.
func (l PoolLoad) share() float64 {
	total := float64(l.Running + l.Queued)
	limit := float64(l.Limit)
	if total == 0 {
		return limit
	}
	slack := float64(busySlack)
	if total < (1-idleShare)*limit {
		slack = idleSlack
	}
	return float64(l.Own)*limit/total + slack
}
