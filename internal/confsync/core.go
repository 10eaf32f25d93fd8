package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Core decides what a node reads, whom it asks, what it applies and until when
// it may admit new work. It does no I/O and has no clock: every event comes
// with the time since the process started.
type Core struct {
	settings Settings
	rules    rules
	self     platform.VM
	boot     uint64
	started  time.Duration
	stopping bool

	tokens Token
	out    []Decision
	roster *roster
	known  knowledge
	// renewedAt is when a younger proof, or a newer revision, last came.
	renewedAt time.Duration
	waking    waking
	trying    trying
	reading   reading
	listing   listing
	pulling   pulling
	holding   holding
	surveys   surveys
	fetch     fetching
	votes     votes
	notices   notices
}

// NewCore returns the core of a process that starts now; boot grows with each
// start under the same id.
func NewCore(s Settings, self platform.VM, boot uint64, now time.Duration) *Core {
	c := &Core{settings: s.WithDefaults(), rules: defaultRules(), self: self, boot: boot, started: now}
	c.roster = newRoster(self)
	c.known.rules = &c.rules
	c.known.started = now
	c.waking = waking{last: now, stalledAt: now}
	c.reading = newReading(c.settings.Seed^score("read", self.ID), now)
	c.notices = notices{}
	return c
}

// Step takes an event and returns the decisions that follow from it. The
// slice is valid until the next step.
func (c *Core) Step(now time.Duration, e Event) []Decision {
	c.out = c.out[:0]
	c.noteStep(now)
	c.handle(now, e)
	c.drive(now)
	return c.out
}

func (c *Core) handle(now time.Duration, e Event) {
	switch e := e.(type) {
	case MembersChanged:
		c.roster.set(e.VMs)
		c.surveys.noteElectors(c.roster.electors, now)
	case StopOrdered:
		c.stopOrdered(now, e.Token)
	case NoticeHeard:
		c.hearNotice(e.Notice, now)
	case Applied:
		c.applied(now, e)
	case ApplyFailed:
		c.applyFailed(now, e.Token)
	default:
		c.handleRead(now, e)
	}
}

func (c *Core) handleRead(now time.Duration, e Event) {
	switch e := e.(type) {
	case Poked:
		c.reading.poke(now)
	case HeadRead:
		c.headRead(now, e)
	case ReadFailed:
		c.readFailed(e.Token)
	case ListRead:
		c.listing.read(e)
	case ListFailed:
		c.listing.failed(e.Token)
	case ListTakeFailed:
		c.listTakeFailed(now)
	default:
		c.handlePeer(now, e)
	}
}

func (c *Core) handlePeer(now time.Duration, e Event) {
	switch e := e.(type) {
	case WaitAsked:
		c.waitAsked(now, e)
	case WaitReplied:
		c.waitReplied(now, e)
	case WaitFailed:
		c.waitFailed(now, e.Token)
	case SurveyAsked:
		c.surveyAsked(now, e)
	case SurveyReplied:
		c.surveyReplied(now, e)
	case SurveyFailed:
		c.surveyFailed(now, e.Token)
	case ConfirmAsked:
		c.confirmAsked(now, e)
	}
}

// drive does what has fallen due.
func (c *Core) drive(now time.Duration) {
	c.driveReads(now)
	c.driveList(now)
	c.driveFetch(now)
	c.drivePull(now)
	c.driveSurveys(now)
	c.driveHeld(now)
}

func (c *Core) decide(d Decision) { c.out = append(c.out, d) }

func (c *Core) token() Token {
	c.tokens++
	return c.tokens
}

// Revision is the applied revision, 0 for none.
func (c *Core) Revision() uint64 { return c.known.applied }

// FreshUntil is until when new work may be admitted; 0 means not at all.
func (c *Core) FreshUntil() time.Duration {
	at, ok := c.known.youngest()
	if !ok || c.known.applied == 0 {
		return 0
	}
	return at + c.settings.Bound
}

// hearTable takes a proof of the table; it returns whether it is news.
func (c *Core) hearTable(p Proof, now time.Duration) bool {
	return c.renewed(c.known.hearTable(p), now)
}

// hearGrant takes a proof of an outage; it returns whether it is news.
func (c *Core) hearGrant(p Proof, now time.Duration) bool {
	return c.renewed(c.known.hearGrant(p), now)
}

func (c *Core) renewed(news bool, now time.Duration) bool {
	if news {
		c.renewedAt = now
	}
	return news
}

// troubled says that this node's own reads have brought no proof for longer
// than two reads take.
func (c *Core) troubled(now time.Duration) bool {
	return !c.reading.proved || now-c.reading.provedAt > 2*c.settings.ReadGap
}

// isReader says whether this node reads the table for its failure domain.
func (c *Core) isReader(now time.Duration) bool {
	return !c.stopping && c.roster.rank(now) < c.settings.Readers
}

// Status is this node's state; the shell adds the preset.
func (c *Core) Status(now time.Duration) Status {
	table := c.known.tableAge(now)
	fresh := now < c.FreshUntil()
	s := Status{
		Revision: c.known.applied,
		Fresh:    fresh,
		Outage:   fresh && table >= c.settings.Bound,
		Reader:   c.isReader(now),
		Children: c.holding.count(now),
	}
	if at, ok := c.known.youngest(); ok {
		s.ProofAge = now - at
	}
	if c.pulling.parent != "" {
		s.Parent = c.pulling.peer.Peer
	}
	return s
}
