package confsync

import "time"

// judge makes a grant of a survey once more than half of the electors have
// voted for an outage. The grant holds from the oldest of the votes.
func (c *Core) judge(round *survey, now time.Duration) {
	// Without a list of the platform the majority of an unknown number of
	// nodes is asked for: a node that knows only itself would be one.
	// The first lists of a process may lag behind nodes that start with it:
	// one that was cut off early would be a majority of the few it knows, and
	// go on under a configuration that all the others have replaced.
	if round.purpose != forOutage || c.listing.digest == 0 || !c.rules.listSettled(c.listing.span()) {
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
