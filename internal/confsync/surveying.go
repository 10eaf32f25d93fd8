package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	// retrySurvey is the time after a survey without a majority; it doubles
	// up to the setting SurveyGap.
	retrySurvey = 200 * time.Millisecond
	// domainCache is for how long a failure domain's answers are given again.
	domainCache = 300 * time.Millisecond
	// surveySlack is added to the calls' timeouts before a survey ends.
	surveySlack = 100 * time.Millisecond
)

// surveys are the rounds of questions under way.
type surveys struct {
	running []*survey
	// next and gap pace the surveys for an outage.
	next time.Duration
	gap  time.Duration
	// cached is the last finished survey of this failure domain.
	cached   *survey
	electors electorHistory
}

func (s *surveys) noteElectors(n int, now time.Duration) { s.electors.add(n, now) }

// driveSurveys begins a survey when the table seems out of reach, and ends
// those whose time is over.
func (c *Core) driveSurveys(now time.Duration) {
	s := &c.surveys
	for i := 0; i < len(s.running); i++ {
		if round := s.running[i]; len(round.open) == 0 || now >= round.until {
			s.running = append(s.running[:i], s.running[i+1:]...)
			c.finish(round, now)
			i--
		}
	}
	if !c.shouldSurvey(now) {
		return
	}
	s.gap = min(max(2*s.gap, retrySurvey), c.settings.SurveyGap)
	s.next = now + s.gap
	c.begin(forOutage, true, now)
}

// shouldSurvey leaves the survey to the readers, whose grants go down the
// tree; a node that hears nothing from it asks for itself.
func (c *Core) shouldSurvey(now time.Duration) bool {
	if now < c.surveys.next || !c.isStale(now) {
		return false
	}
	youngest, ok := c.known.youngest()
	alone := !ok || now-youngest > 4*c.settings.ReadGap
	return c.isReader(now) || alone
}

// begin asks every node, or above the direct limit this failure domain and a
// reader of each other one.
func (c *Core) begin(p purpose, voting bool, now time.Duration) *survey {
	round := &survey{purpose: p, voting: voting, sent: now, open: map[Token]platform.VM{}, nodes: map[string]heardStatus{}}
	round.until = now + c.settings.CallTimeout + surveySlack
	round.hear(c.ownStatus(now, voting), now)
	if p != forDomain && len(c.roster.members) <= c.settings.DirectLimit {
		c.ask(round, c.roster.members, false)
	} else {
		c.ask(round, c.roster.domain, false)
	}
	if p != forDomain && len(c.roster.members) > c.settings.DirectLimit {
		round.until += c.settings.CallTimeout
		c.askDomains(round, now)
	}
	c.surveys.running = append(c.surveys.running, round)
	c.judge(round, now)
	return round
}

func (c *Core) ask(round *survey, vms []platform.VM, domain bool) {
	for _, vm := range vms {
		if vm.ID == c.self.ID {
			continue
		}
		t := c.token()
		round.open[t] = vm
		c.decide(Survey{Token: t, Addr: vm.Peer, Args: SurveyArgs{Domain: domain, Voting: round.voting}})
	}
}

// askDomains asks one reader of each other failure domain, not always the
// same, so that a frozen one is missed in every second survey at most.
func (c *Core) askDomains(round *survey, now time.Duration) {
	turn := int(c.tokens) % c.settings.Readers
	for _, d := range c.roster.others {
		live := func(vm platform.VM) bool { return !c.roster.down.has(vm.ID, now) }
		vm, ok := nth(d.vms, turn, live)
		if !ok {
			vm = d.vms[0]
		}
		c.ask(round, []platform.VM{vm}, true)
	}
}

func (c *Core) surveyAsked(now time.Duration, e SurveyAsked) {
	if !e.Args.Domain {
		nodes := []NodeStatus{c.ownStatus(now, e.Args.Voting)}
		c.decide(AnswerSurvey{Token: e.Token, Reply: SurveyReply{Nodes: nodes, Table: c.known.table.send(now)}})
		return
	}
	asked := domainAsked{token: e.Token, received: now}
	if old := c.surveys.cached; old != nil && old.voting == e.Args.Voting && now-old.sent < domainCache {
		c.answerDomain(old, asked)
		return
	}
	for _, round := range c.surveys.running {
		if round.purpose == forDomain && round.voting == e.Args.Voting {
			round.domains = append(round.domains, asked)
			return
		}
	}
	round := c.begin(forDomain, e.Args.Voting, now)
	round.domains = append(round.domains, asked)
}

func (c *Core) answerDomain(round *survey, asked domainAsked) {
	reply := SurveyReply{Nodes: round.statuses(asked.received), Table: c.known.table.send(asked.received)}
	c.decide(AnswerSurvey{Token: asked.token, Reply: reply})
}

func (c *Core) surveyReplied(now time.Duration, e SurveyReplied) {
	round, peer := c.closeCall(e.Token)
	if round == nil {
		return
	}
	c.roster.down.remove(peer.ID)
	for _, n := range e.Reply.Nodes {
		round.hear(n, c.rules.proofAt(round.sent, now, n.Age))
	}
	table := c.proofFrom(e.Reply.Table, round.sent, now)
	c.hearTable(table, now)
	if table.Revision > c.known.applied || round.highest() > c.known.applied {
		c.pulling.prefer(peer, now)
	}
	c.judge(round, now)
}

func (c *Core) surveyFailed(now time.Duration, t Token) {
	if round, peer := c.closeCall(t); round != nil {
		c.roster.down.add(peer.ID, now)
	}
}

func (c *Core) closeCall(t Token) (*survey, platform.VM) {
	for _, round := range c.surveys.running {
		if peer, ok := round.open[t]; ok {
			delete(round.open, t)
			return round, peer
		}
	}
	return nil, platform.VM{}
}

// finish answers those who wait for the round.
func (c *Core) finish(round *survey, now time.Duration) {
	for _, asked := range round.confirms {
		c.decide(AnswerConfirm{Token: asked.Token, Confirmation: c.confirmation(round, asked.Revision, now)})
	}
	if round.purpose != forDomain {
		return
	}
	c.surveys.cached = round
	for _, asked := range round.domains {
		c.answerDomain(round, asked)
	}
}
