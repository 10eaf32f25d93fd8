package confsync

import "time"

// judge makes a grant of a survey once more than half of the electors have
// voted for an outage. The grant holds from the oldest of the votes.
func (c *Core) judge(round *survey, now time.Duration) {
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
	c.hearGrant(Proof{Revision: round.highest(), At: oldest, Valid: true}, now)
	c.surveys.gap = c.settings.SurveyGap
	c.surveys.next = max(c.surveys.next, round.sent+c.settings.SurveyGap)
}

// knowsElectors says whether this node knows who the electors are. Without a
// list of the platform the majority of an unknown number of nodes is asked for:
// a node that knows only itself would be one.
func (c *Core) knowsElectors(round *survey) bool {
	if c.listing.digest == 0 {
		return false
	}
	// In a long outage nobody reads lists. Each node that stood still for a
	// moment would have to refuse from then on, and in the end all of them: so
	// a voter that knows its electors vouches for the same list elsewhere. Its
	// word must be younger than the stall: one from before may wait in a buffer.
	for _, n := range round.nodes {
		if n.Vote && n.List == c.listing.digest && n.at >= c.listing.firstAt {
			c.listing.vouched = n.List
		}
	}
	return c.settledList() == c.listing.digest
}

// settledList is the digest of the list that this node counts a majority by,
// 0 for none. The first lists of a process may lag behind nodes that start with
// it: one that was cut off early would be a majority of the few it knows, and
// go on under a configuration that all the others have replaced.
func (c *Core) settledList() uint64 {
	l := &c.listing
	if l.vouched != l.digest && !c.rules.listSettled(l.span()) {
		return 0
	}
	return l.digest
}

// confirmation counts who has confirmed a revision.
func (c *Core) confirmation(round *survey, revision uint64, now time.Duration) Confirmation {
	result := Confirmation{Revision: revision, Members: c.roster.electors, Since: c.known.since(revision, now)}
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
	// Also when every listed node has it: a node that the list does not show
	// yet may hold a proof of the revision before for as long as the bound.
	settled := result.Since >= c.rules.settle(c.settings.Bound)
	result.InForce = c.listing.digest != 0 && result.Have >= result.Needed && settled
	return result
}

// confirmAsked joins a survey that begins now; one under way is older than
// the question.
func (c *Core) confirmAsked(now time.Duration, e ConfirmAsked) {
	round := c.begin(forConfirm, false, now)
	round.confirms = append(round.confirms, e)
}
