package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// audience is the nodes to which a node pushes what it reads of the table.
type audience struct {
	// group is the node's group, leaders its leader group, which only leaders have.
	group, leaders []gossip.Member
	// leads is set if the node leads its group, reads if it also reads for its leader group.
	leads, reads bool
}

// atEnd returns the audience of a reading that began with this one and ends with the audience
// now. A node that no longer leads, as a member that ranks higher has started meanwhile, informs
// those it has read for: its successor knows nothing of the reading, and all would wait for the
// next one.
func (a audience) atEnd(now audience) audience {
	if !a.leads || now.leads {
		return now
	}
	return audience{group: now.group, leaders: a.leaders, leads: true, reads: a.reads}
}

// readingAudience returns the audience of this node's readings at present.
func (n *Node) readingAudience() audience {
	n.mu.Lock()
	defer n.mu.Unlock()
	return audience{group: n.roster.Group(), leaders: n.roster.LeaderGroup(), leads: n.leadsGroup(), reads: n.readsTable()}
}

// pushReading pushes what this node has read of the table: the reader to the leaders of its
// leader group, a leader to its group. A node that reads in place of an unresponsive reader or
// leader does so as well, since all others would read the same. before is the audience when the
// reading began.
func (n *Node) pushReading(ctx context.Context, cause CallCause, before audience) {
	to := before.atEnd(n.readingAudience())
	substitutes := cause == CauseMember || cause == CauseRetry
	var pushes conc.WaitGroup
	if to.reads || to.leads && substitutes {
		pushes.Go(func() { n.exchangeWithAll(ctx, n.withoutSelf(to.leaders), 1, n.leaderMessage) })
	}
	if to.leads || substitutes {
		pushes.Go(func() { n.pushTo(ctx, n.withoutSelf(to.group)) })
	}
	pushes.Wait()
}

// leaderMessage returns what a reader pushes to the leader of another group.
func (n *Node) leaderMessage(to gossip.Member) gossip.Message {
	m := n.pushMessage(to)
	m.ForGroup = true
	return m
}

// relayReading pushes a reading that this node has received to its group, or to the leaders of
// its leader group.
func (n *Node) relayReading(ctx context.Context) {
	n.mu.Lock()
	group, leaders := n.roster.Group(), n.roster.LeaderGroup()
	toGroup, toLeaders := n.view.relayToGroup, n.view.relayToLeaders
	n.view.relayToGroup, n.view.relayToLeaders = false, false
	n.mu.Unlock()
	var pushes conc.WaitGroup
	if toLeaders {
		pushes.Go(func() { n.exchangeWithAll(ctx, n.withoutSelf(leaders), 1, n.leaderMessage) })
	}
	if toGroup {
		pushes.Go(func() { n.pushTo(ctx, n.withoutSelf(group)) })
	}
	pushes.Wait()
}

// pushToGroup pushes this node's state to its group if it leads the group.
func (n *Node) pushToGroup(ctx context.Context) {
	n.mu.Lock()
	group, leads := n.roster.Group(), n.leadsGroup()
	n.mu.Unlock()
	if leads {
		n.pushTo(ctx, n.withoutSelf(group))
	}
}

// withoutSelf returns some members without this node.
func (n *Node) withoutSelf(members []gossip.Member) []gossip.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m gossip.Member) bool { return m.ID == n.settings.ID })
}

// pushToLeaders pushes the group's state to the leaders of other groups. During a rollout
// it calls all of them, as they need the group's counts. Otherwise it calls only some: each
// receives the state anyway, and the push only speeds that up.
func (n *Node) pushToLeaders(ctx context.Context) {
	n.mu.Lock()
	groups := n.roster.Groups()
	leads := n.leadsGroup()
	open := len(n.canary.Tallies(time.Now())) > 0
	n.mu.Unlock()
	if !leads {
		return
	}
	var leaders []gossip.Member
	for _, g := range groups {
		if g[0].ID != n.settings.ID {
			leaders = append(leaders, g[0])
		}
	}
	if !open {
		n.draws.Shuffle(len(leaders), func(i, k int) { leaders[i], leaders[k] = leaders[k], leaders[i] })
		leaders = leaders[:min(len(leaders), urgentPeers)]
	}
	n.pushTo(ctx, leaders)
}
