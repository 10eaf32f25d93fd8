package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	// minSurveyBackoff is the delay after the first survey without a majority; it doubles up to
	// the setting SurveyInterval.
	minSurveyBackoff = 200 * time.Millisecond
	// domainCacheTime is how long the statuses of a failure domain are reused.
	domainCacheTime = 300 * time.Millisecond
	// surveySlack is added to the timeout of the calls before a survey ends.
	surveySlack = 100 * time.Millisecond
)

// surveys are the running surveys and the schedule of those for an outage.
type surveys struct {
	running []*survey
	// nextSurvey and gap schedule the surveys for an outage.
	nextSurvey time.Duration
	backoff    time.Duration
	// cached is the last finished survey of this failure domain.
	cached   *survey
	electors electorHistory
}

func (s *surveys) recordElectors(n int, now time.Duration) { s.electors.add(n, now) }

// updateSurveys starts a survey if the table seems unreachable, and finishes surveys that are
// complete or past their deadline.
func (c *Core) updateSurveys(now time.Duration) {
	s := &c.surveys
	for i := 0; i < len(s.running); i++ {
		if round := s.running[i]; len(round.pending) == 0 || now >= round.deadline {
			s.running = append(s.running[:i], s.running[i+1:]...)
			c.finishSurvey(round, now)
			i--
		}
	}
	if !c.shouldSurvey(now) {
		return
	}
	s.backoff = min(max(2*s.backoff, minSurveyBackoff), c.settings.SurveyInterval)
	s.nextSurvey = now + s.backoff
	c.startSurvey(forOutage, true, now)
}

// shouldSurvey reports whether this node should start a survey for an outage. Readers do, and
// their grants pass down the tree. Other nodes do only if they get no recent proof.
func (c *Core) shouldSurvey(now time.Duration) bool {
	if now < c.surveys.nextSurvey || !c.isStale(now) {
		return false
	}
	latest, ok := c.state.latestAt()
	noRecentProof := !ok || now-latest > 4*c.settings.ReadInterval
	return c.isReader(now) || noRecentProof
}

// startSurvey starts a survey of all nodes. Above the direct limit it calls the nodes of this
// failure domain and one reader of each other domain.
func (c *Core) startSurvey(p purpose, voting bool, now time.Duration) *survey {
	round := &survey{purpose: p, voting: voting, sent: now, pending: map[Token]platform.VM{}, nodes: map[string]timedStatus{}}
	round.deadline = now + c.settings.CallTimeout + surveySlack
	round.addStatus(c.ownStatus(now, voting), now)
	if p != forDomain && len(c.roster.members) <= c.settings.DirectLimit {
		c.surveyPeers(round, c.roster.members, false)
	} else {
		c.surveyPeers(round, c.roster.domain, false)
	}
	if p != forDomain && len(c.roster.members) > c.settings.DirectLimit {
		round.deadline += c.settings.CallTimeout
		c.surveyDomains(round, now)
	}
	c.surveys.running = append(c.surveys.running, round)
	c.evaluateVotes(round, now)
	return round
}

// surveyPeers calls peers for a survey; domain requests their whole failure domains.
func (c *Core) surveyPeers(round *survey, vms []platform.VM, domain bool) {
	for _, vm := range vms {
		if vm.ID == c.self.ID {
			continue
		}
		t := c.nextToken()
		round.pending[t] = vm
		c.emit(Survey{Token: t, Addr: vm.Peer, Args: SurveyArgs{Domain: domain, Voting: round.voting}})
	}
}

// surveyDomains calls one reader of each other failure domain. The readers alternate, so that a
// frozen one fails every second survey at most.
func (c *Core) surveyDomains(round *survey, now time.Duration) {
	rank := int(c.tokens) % c.settings.Readers
	for _, d := range c.roster.others {
		live := func(vm platform.VM) bool { return !c.roster.down.has(vm.ID, now) }
		vm, ok := nth(d.vms, rank, live)
		if !ok {
			vm = d.vms[0]
		}
		c.surveyPeers(round, []platform.VM{vm}, true)
	}
}

func (c *Core) surveyRequested(now time.Duration, e SurveyRequested) {
	if !e.Args.Domain {
		nodes := []NodeStatus{c.ownStatus(now, e.Args.Voting)}
		c.emit(AnswerSurvey{Token: e.Token, Reply: SurveyReply{Nodes: nodes, Table: c.state.table.send(now)}})
		return
	}
	asked := domainRequest{token: e.Token, received: now}
	if old := c.surveys.cached; old != nil && old.voting == e.Args.Voting && now-old.sent < domainCacheTime {
		c.answerDomain(old, asked)
		return
	}
	for _, round := range c.surveys.running {
		if round.purpose == forDomain && round.voting == e.Args.Voting {
			round.domainRequests = append(round.domainRequests, asked)
			return
		}
	}
	round := c.startSurvey(forDomain, e.Args.Voting, now)
	round.domainRequests = append(round.domainRequests, asked)
}

func (c *Core) answerDomain(round *survey, asked domainRequest) {
	reply := SurveyReply{Nodes: round.statuses(asked.received), Table: c.state.table.send(asked.received)}
	c.emit(AnswerSurvey{Token: asked.token, Reply: reply})
}

func (c *Core) surveyReplied(now time.Duration, e SurveyReplied) {
	round, peer := c.endCall(e.Token)
	if round == nil {
		return
	}
	c.roster.down.remove(peer.ID)
	for _, n := range e.Reply.Nodes {
		round.addStatus(n, c.rules.proofAt(round.sent, now, n.Age))
	}
	table := c.proofFrom(e.Reply.Table, round.sent, now)
	c.addTableProof(table, now)
	if table.Revision > c.state.applied || round.highestRevision() > c.state.applied {
		c.pulls.prefer(peer, now)
	}
	c.evaluateVotes(round, now)
}

func (c *Core) surveyFailed(now time.Duration, t Token) {
	if round, peer := c.endCall(t); round != nil {
		c.roster.down.add(peer.ID, now)
	}
}

// endCall removes a call from its survey and returns both, or nil if the survey has ended.
func (c *Core) endCall(t Token) (*survey, platform.VM) {
	for _, round := range c.surveys.running {
		if peer, ok := round.pending[t]; ok {
			delete(round.pending, t)
			return round, peer
		}
	}
	return nil, platform.VM{}
}

// finishSurvey answers the requests that wait for a survey.
func (c *Core) finishSurvey(round *survey, now time.Duration) {
	for _, asked := range round.confirmRequests {
		c.emit(AnswerConfirm{Token: asked.Token, Confirmation: c.confirmation(round, asked.Revision, now)})
	}
	if round.purpose != forDomain {
		return
	}
	c.surveys.cached = round
	for _, asked := range round.domainRequests {
		c.answerDomain(round, asked)
	}
}
