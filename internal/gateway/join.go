package gateway

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

const (
	// meetStep is the pause between a starting node's calls of its seeds.
	meetStep = 100 * time.Millisecond
	// aloneAfter is how long a node may hear of no other before it looks for them in the
	// table.
	aloneAfter = time.Second
	// leaderSettles is how long a node leads its group before it is recorded: right after a
	// start, before it has heard of all others, each takes itself for a leader.
	leaderSettles = 3 * time.Second
)

// meet calls seeds until one has answered, or the node would rather look in the table.
// While the whole deployment starts for the first time it goes on until one knows what
// the table holds, so that not all have to read it.
//
// It compares members once: while hundreds of nodes start, each call would find others
// that it does not know yet, and tell of all that it does.
func (n *Node) meet(ctx context.Context) {
	tries := exchangeTries
	for ctx.Err() == nil && time.Since(n.began) < aloneAfter && !n.met() {
		n.mu.Lock()
		seed, ok := n.seed()
		n.mu.Unlock()
		if !ok {
			return
		}
		n.exchangeUpTo(ctx, tries, seed, n.message)
		if n.heardAny() {
			tries = 1
		}
		n.noteAsked()
		if n.met() || !pause(ctx, meetStep) {
			return
		}
	}
}

// met tells whether this node has learned from a seed what it can.
func (n *Node) met() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.informed.IsZero() || len(n.told) > 0 && !n.founding()
}

// heardAny tells whether any peer has told this node something.
func (n *Node) heardAny() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.told) > 0
}

// noteAsked notes that a peer was asked, whether it answered or not.
func (n *Node) noteAsked() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asked = true
}

// noteInformed notes that a peer knows what the table holds; the caller holds mu.
func (n *Node) noteInformed(in gossip.Message, now time.Time) {
	if n.informed.IsZero() && in.ConfigVersion > 0 && in.Proof.FleetRevision > 0 {
		n.informed = now
	}
}

// shouldJoin tells whether this node should be recorded in the table now.
func (n *Node) shouldJoin() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.joinDue(time.Now())
}

// joinDue tells whether this node should be recorded in the table; the caller holds mu.
//
// Others find the deployment by its seeds and by whom a peer has told of; the table is
// for those that reach neither, and for parts of a deployment that have lost each other.
// One recorded node of each group is enough for that, and calls of the table do not grow
// with each start.
func (n *Node) joinDue(now time.Time) bool {
	if len(n.roster.Alive()) == 1 {
		n.leaderSince = time.Time{}
		return now.Sub(n.began) >= aloneAfter
	}
	if !n.leads() {
		n.leaderSince = time.Time{}
		return false
	}
	if n.leaderSince.IsZero() {
		n.leaderSince = now
	}
	return now.Sub(n.leaderSince) >= leaderSettles
}

// join records this node and learns of others.
func (n *Node) join(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(withCause(ctx, CauseJoin), callTimeout)
	defer cancel()
	n.mu.Lock()
	self := n.roster.Self()
	n.mu.Unlock()
	members, err := n.source.Join(ctx, self)
	n.sourceResult("join", err)
	if err != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recorded = members
	return true
}
