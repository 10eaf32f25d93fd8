package gateway

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

const (
	// seedCallInterval is the pause between a starting node's calls of its seeds.
	seedCallInterval = 100 * time.Millisecond
	// aloneAfter is how long a node may know of no other before it looks for members in the
	// table.
	aloneAfter = time.Second
	// leaderSettleTime is how long a node leads its group before it is recorded in the
	// table. Right after a start each node considers itself a leader, as it does not know
	// all others yet.
	leaderSettleTime = 3 * time.Second
)

// contactSeeds calls seeds until one that knows what the table holds has answered, or until
// the node should look in the table instead. While seeds answer without that knowledge, the
// pauses grow: hundreds of nodes may start at once and call the same seeds.
func (n *Node) contactSeeds(ctx context.Context) {
	wait := seedCallInterval
	defer n.releaseSeeds()
	for ctx.Err() == nil && time.Since(n.startedAt) < aloneAfter && !n.informed() {
		n.mu.Lock()
		seed, ok := n.seed()
		n.mu.Unlock()
		if !ok {
			return
		}
		n.exchange(ctx, seed, n.newMessage)
		if n.receivedAny() {
			wait *= 2
		}
		if n.informed() || !pause(ctx, wait) {
			return
		}
	}
}

// releaseSeeds closes this node's connections to seeds unless it goes on using them. Otherwise
// each seed holds connections of all nodes that have just started.
func (n *Node) releaseSeeds() {
	for _, addr := range n.settings.Seeds {
		n.gossipClient.Release(addr)
	}
}

// informed reports whether a peer that knows what the table holds has answered.
func (n *Node) informed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.informedAt.IsZero()
}

// receivedAny reports whether this node has received a message from any peer.
func (n *Node) receivedAny() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.peerStates) > 0
}

// noteInformed records that a peer knows what the table holds; the caller holds mu.
func (n *Node) noteInformed(in gossip.Message, now time.Time) {
	if n.informedAt.IsZero() && in.ConfigVersion > 0 && in.Proof.ListRead > 0 {
		n.informedAt = now
	}
}

// shouldJoin reports whether this node should be recorded in the table now.
func (n *Node) shouldJoin() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.joinDue(time.Now())
}

// joinDue reports whether this node should be recorded in the table; the caller holds mu.
//
// Nodes find the deployment by its seeds and by gossip. The records in the table are for
// nodes that reach neither, and for parts of a deployment that have lost each other. One
// recorded node of each group is enough for that, and the calls of the table do not grow
// with each start.
func (n *Node) joinDue(now time.Time) bool {
	if len(n.roster.Alive()) == 1 {
		n.leaderSince = time.Time{}
		return now.Sub(n.startedAt) >= aloneAfter
	}
	if !n.leadsGroup() {
		n.leaderSince = time.Time{}
		return false
	}
	if n.leaderSince.IsZero() {
		n.leaderSince = now
	}
	return now.Sub(n.leaderSince) >= leaderSettleTime
}

// join records this node in the table and learns of other members; it reports whether the
// call succeeded.
func (n *Node) join(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(withCause(ctx, CauseJoin), tableCallTimeout)
	defer cancel()
	n.mu.Lock()
	self := n.roster.Self()
	n.mu.Unlock()
	members, unreadable, err := n.source.Join(ctx, self)
	n.sourceResult("join", err)
	if err != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordedMembers = members
	n.noteUnreadable(unreadable)
	return true
}
