package confsync

import "time"

// votes are the constraints from this node's own votes.
type votes struct {
	// boundUntil is when the last vote ceases to bind. revision is the revision applied at the
	// first vote that still binds.
	boundUntil time.Duration
	revision   uint64
}

// bind records a vote. Others may continue under the revision while the vote counts. Until
// then this node does not confirm a newer revision, so that none is reported in force.
func (v *votes) bind(now, until time.Duration, revision uint64) {
	if now >= v.boundUntil {
		v.revision = revision
	}
	v.boundUntil = max(v.boundUntil, until)
}

// confirmed returns the newest revision that this node confirms; 0 for none.
func (c *Core) confirmed(now time.Duration) uint64 {
	term := c.rules.voteTerm(c.settings.Bound)
	switch {
	case now < c.started+term:
		// The previous process may have voted.
		return 0
	case now < c.votes.boundUntil:
		return c.votes.revision
	default:
		return c.state.applied
	}
}

// ownStatus returns this node's status. A vote in it binds the node.
func (c *Core) ownStatus(now time.Duration, voting bool) NodeStatus {
	vote := voting && c.state.applied > 0 && c.seesOutage(now) && c.rules.mayVote(c.state.provedSinceStart)
	if vote {
		c.votes.bind(now, now+c.rules.voteTerm(c.settings.Bound), c.state.applied)
	}
	return NodeStatus{
		ID: c.self.ID, Revision: c.state.applied, Confirmed: c.confirmed(now), Vote: vote,
		Fewest: c.surveys.electors.fewest(now), List: c.settledDigest(),
	}
}
