package admission

import "time"

const (
	// minDemand, in requests per second, is added to every demand, so that a node whose
	// demand has just ended keeps a small share.
	minDemand = 0.01
	// nodeShareTTL is the time after a node's last report of an organisation until its
	// demand is dropped.
	nodeShareTTL = 15 * time.Second
)

// allocation divides one organisation's limit, or one failure domain's share of it, among
// nodes.
type allocation struct {
	// createdAt is when the organisation was first reported here.
	createdAt time.Duration
	nodes     map[string]*nodeShare // by node
}

// lease is the start and the duration of a grant.
type lease struct {
	now      time.Duration
	duration time.Duration
}

func (l lease) expiresAt() time.Duration { return l.now + l.duration }

// renew updates a node's demand and returns its share of total, in requests per second. A
// summary that is older than the last one gets no share; a repeated one gets the same
// share again.
func (a *allocation) renew(summary Summary, demand Demand, total float64, l lease) (float64, bool) {
	n := a.nodes[summary.From]
	if n == nil {
		n = &nodeShare{}
		a.nodes[summary.From] = n
	}
	if summary.Seq < n.seq {
		return 0, false
	}
	if summary.Seq == n.seq {
		return n.granted, true
	}
	n.applyDemand(demand, l)
	a.dropExpired(l.now)
	share := a.share(n, total, l)
	n.setGrant(share, summary.Seq, l)
	return share, true
}

// share returns the node's part of total in proportion to demand, bounded by what the
// valid grants of the other nodes leave.
func (a *allocation) share(n *nodeShare, total float64, l lease) float64 {
	var demands, others float64
	for _, other := range a.nodes {
		demands += other.demand + minDemand
		if other != n {
			others += other.held(l.now)
		}
	}
	share := total * (n.demand + minDemand) / demands
	if l.now < a.createdAt+l.duration {
		// Grants of a previous holder that have not been reported here may still be
		// valid, so no node may get more than it already holds.
		share = min(share, n.held(l.now))
	}
	return max(0, min(share, total-others))
}

// dropExpired removes the nodes without a valid grant or a recent report.
func (a *allocation) dropExpired(now time.Duration) {
	for id, n := range a.nodes {
		if n.held(now) == 0 && now > n.reportedAt+nodeShareTTL {
			delete(a.nodes, id)
		}
	}
}
