package admission

// PoolLoad is the total load that a pool's upstreams reported, in requests.
type PoolLoad struct {
	Running int
	Queued  int
	// Limit is how many requests they batch at a time; 0 means unknown.
	Limit int
	// Own is the part of Running and Queued that came from this node.
	Own int
}

const (
	// idleThreshold is the free fraction of the batch slots above which the upstreams
	// count as idle.
	idleThreshold = 0.1
	// idleSlack is how many requests a node may run beyond its share of idle upstreams,
	// and busySlack beyond its share of busy ones.
	idleSlack = 8
	busySlack = 1
)

// share returns how many requests this node may run. Its part of the batch slots is in
// proportion to its part of the upstreams' load. Both figures come from the same report,
// so a delayed report gives the same result each time it is read, and all nodes shrink by
// the same factor.
func (l PoolLoad) share() float64 {
	total := float64(l.Running + l.Queued)
	limit := float64(l.Limit)
	if total == 0 {
		return limit
	}
	slack := float64(busySlack)
	if total < (1-idleThreshold)*limit {
		slack = idleSlack
	}
	return float64(l.Own)*limit/total + slack
}
