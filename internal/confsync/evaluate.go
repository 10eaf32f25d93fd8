package confsync

import "time"

// evaluateVotes derives a grant from a survey once more than half of the electors have voted
// for an outage. The grant's instant is that of the oldest vote.
func (c *Core) evaluateVotes(round *survey, now time.Duration) {
	if round.purpose != forOutage || !c.knowsElectors(round) {
		return
	}
	count, oldest := 0, round.sent
	for id, n := range round.nodes {
		if n.Vote && c.roster.isElector(id) {
			count++
			oldest = min(oldest, n.at)
		}
	}
	if count < c.rules.outageQuorum(c.roster.electors) {
		return
	}
	c.addGrant(Proof{Revision: round.highestRevision(), At: oldest, Valid: true}, now)
	c.surveys.backoff = c.settings.SurveyInterval
	c.surveys.nextSurvey = max(c.surveys.nextSurvey, round.sent+c.settings.SurveyInterval)
}

// knowsElectors reports whether this node knows all electors. Without a list of the platform
// their number is unknown, and a node that knows only itself would be its own majority.
func (c *Core) knowsElectors(round *survey) bool {
	if c.list.digest == 0 {
		return false
	}
	// During a long outage no lists are read. A node that stalls for a moment could not
	// count a majority from then on and would refuse work, and in the end all nodes would.
	// Therefore a voter whose list has settled vouches for other nodes with the same list.
	// Its status must be more recent than the stall: an earlier one may have been buffered.
	for _, n := range round.nodes {
		if n.Vote && n.List == c.list.digest && n.at >= c.list.firstReadAt {
			c.list.vouchedDigest = n.List
		}
	}
	return c.settledDigest() == c.list.digest
}

// settledDigest returns the digest of the list by which this node counts a majority; 0 for
// none. The first lists of a process may omit nodes that started at the same time. If it were
// cut off early, it would be a majority of the few nodes that it knows, and would continue
// under a configuration that all others have replaced.
func (c *Core) settledDigest() uint64 {
	l := &c.list
	if l.vouchedDigest != l.digest && !c.rules.listSettled(l.span()) {
		return 0
	}
	return l.digest
}

// confirmation counts the nodes that have confirmed a revision.
func (c *Core) confirmation(round *survey, revision uint64, now time.Duration) Confirmation {
	result := Confirmation{Revision: revision, Members: c.roster.electors, Since: c.state.since(revision, now)}
	result.Needed = c.rules.confirmQuorum(c.roster.electors, round.fewest(c.roster.electors))
	lagging := 0
	for _, id := range c.roster.electorIDs() {
		if n, ok := round.nodes[id]; ok && n.Confirmed >= revision {
			result.Have++
			continue
		}
		lagging++
		if lagging <= MaxLagging {
			result.Lagging = append(result.Lagging, id)
		}
	}
	result.LaggingMore = max(0, lagging-MaxLagging)
	// This applies also if each listed node has confirmed: a node that the list does not
	// show yet may hold a proof of the previous revision for as long as the bound.
	settled := result.Since >= c.rules.settleTime(c.settings.Bound)
	result.InForce = c.list.digest != 0 && result.Have >= result.Needed && settled
	return result
}

// confirmRequested starts a new survey: the answers of a running one may be older than the
// request.
func (c *Core) confirmRequested(now time.Duration, e ConfirmRequested) {
	round := c.startSurvey(forConfirm, false, now)
	round.confirmRequests = append(round.confirmRequests, e)
}
