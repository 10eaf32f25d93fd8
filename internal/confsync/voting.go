package confsync

import "time"

// votes are this node's own votes and what they bind it to.
type votes struct {
	// until is when the last vote ceases to bind; revision is the one that
	// was applied at the first vote that still binds.
	until    time.Duration
	revision uint64
}

// bind notes a vote. Others may go on under the revision for as long as the
// vote counts; until then this node does not confirm a newer one, so that no
// newer one is reported in force meanwhile.
func (v *votes) bind(now, until time.Duration, revision uint64) {
	if now >= v.until {
		v.revision = revision
	}
	v.until = max(v.until, until)
}

// confirmed is the newest revision that this node confirms.
func (c *Core) confirmed(now time.Duration) uint64 {
	bound := c.rules.promise(c.settings.Bound)
	switch {
	case now < c.started+bound:
		// The process before this one may have voted.
		return 0
	case now < c.votes.until:
		return c.votes.revision
	default:
		return c.known.applied
	}
}

// ownStatus is what this node says of itself; a vote binds it.
func (c *Core) ownStatus(now time.Duration, voting bool) NodeStatus {
	vote := voting && c.known.applied > 0 && c.seesOutage(now) && c.rules.mayVote(c.known.provedSinceStart)
	if vote {
		c.votes.bind(now, now+c.rules.promise(c.settings.Bound), c.known.applied)
	}
	return NodeStatus{
		ID: c.self.ID, Revision: c.known.applied, Confirmed: c.confirmed(now), Vote: vote,
		Fewest: c.surveys.electors.fewest(now), List: c.settledList(),
	}
}
