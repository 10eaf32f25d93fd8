package admission

import "time"

// nodeShare is one node's share of one organisation's limit, in requests per second.
type nodeShare struct {
	demand     float64
	reportedAt time.Duration
	granted    float64
	expiresAt  time.Duration
	seq        uint64
	// The message with a lowered grant may be lost, and then the node uses the previous
	// grant until that expires. So previous counts until previousUntil, or until the node
	// reports that it holds the grant loweredSeq or a later one. A collector then still
	// reports what its nodes hold of previous grants, which falls with each message.
	previous      float64
	previousUntil time.Duration
	loweredSeq    uint64
}

// held returns the most that the node may use now.
func (n *nodeShare) held(now time.Duration) float64 {
	var held float64
	if now < n.expiresAt {
		held = n.granted
	}
	if now < n.previousUntil {
		held = max(held, n.previous)
	}
	return held
}

// applyDemand records the node's demand, and what it holds, perhaps from a previous
// holder.
func (n *nodeShare) applyDemand(d Demand, l lease) {
	n.demand = d.PerSecond
	n.reportedAt = l.now
	if n.loweredSeq != 0 && d.HeldSeq >= n.loweredSeq {
		n.reducePrevious(d.Held)
	}
	if d.Held > n.held(l.now) {
		n.previous = d.Held
		n.previousUntil = l.expiresAt()
	}
}

// reducePrevious lowers the previous grants to what the node reports as still held.
func (n *nodeShare) reducePrevious(held float64) {
	n.previous = min(n.previous, held)
	if n.previous <= n.granted {
		n.previous = 0
		n.previousUntil = 0
		n.loweredSeq = 0
	}
}

// setGrant records a new grant. When it is lower than what the node holds, the larger
// value still counts until it expires or the node confirms the new one.
func (n *nodeShare) setGrant(share float64, seq uint64, l lease) {
	if held := n.held(l.now); share < held {
		n.previous = held
		n.previousUntil = max(n.expiresAt, n.previousUntil)
		n.loweredSeq = seq
	}
	n.granted = share
	n.expiresAt = l.expiresAt()
	n.seq = seq
}
