package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Core is the state machine that determines what a node reads, which peers it calls, what it
// applies and until when it may admit new work. It does no I/O and has no clock: each event
// comes with the time since the process started. It is not safe for concurrent use.
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
	state  proofState
	// renewedAt is when a more recent proof or a newer revision last arrived.
	renewedAt time.Duration
	stalls    stallDetector
	attempts  failedAttempt
	headReads headReader
	list      listState
	pulls     puller
	heldCalls heldCalls
	surveys   surveys
	fetches   fetcher
	votes     votes
	notices   notices
}

// NewCore returns the core of a process that starts at now. boot must increase with each
// restart under the same ID.
func NewCore(s Settings, self platform.VM, boot uint64, now time.Duration) *Core {
	c := &Core{settings: s.WithDefaults(), rules: defaultRules(), self: self, boot: boot, started: now}
	c.roster = newRoster(self)
	c.state.rules = &c.rules
	c.state.started = now
	c.stalls = stallDetector{lastStep: now, stalledAt: now}
	c.headReads = newHeadReader(c.settings.Seed^score("read", self.ID), now)
	c.notices = notices{}
	return c
}

// Step handles an event at now and returns the resulting decisions. The slice is valid until
// the next step.
func (c *Core) Step(now time.Duration, e Event) []Decision {
	c.out = c.out[:0]
	c.detectStall(now)
	c.handle(now, e)
	c.runDue(now)
	return c.out
}

func (c *Core) handle(now time.Duration, e Event) {
	switch e := e.(type) {
	case MembersChanged:
		c.roster.setMembers(e.VMs)
		c.surveys.recordElectors(c.roster.electors, now)
	case StopOrdered:
		c.stopOrdered(now, e.Token)
	case NoticeReceived:
		c.receiveNotice(e.Notice, now)
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
	case ReadRequested:
		c.headReads.readSoon(now)
	case HeadRead:
		c.headRead(now, e)
	case ReadFailed:
		c.readFailed(e.Token)
	case ListRead:
		c.list.readDone(e)
	case ListFailed:
		c.list.readFailed(e.Token)
	case ListRejected:
		c.peerListRejected(now)
	default:
		c.handlePeer(now, e)
	}
}

func (c *Core) handlePeer(now time.Duration, e Event) {
	switch e := e.(type) {
	case WaitRequested:
		c.waitRequested(now, e)
	case WaitReplied:
		c.waitReplied(now, e)
	case WaitFailed:
		c.waitFailed(now, e.Token)
	case SurveyRequested:
		c.surveyRequested(now, e)
	case SurveyReplied:
		c.surveyReplied(now, e)
	case SurveyFailed:
		c.surveyFailed(now, e.Token)
	case ConfirmRequested:
		c.confirmRequested(now, e)
	}
}

// runDue starts the reads, fetches, pulls and surveys that are due, and answers held calls.
func (c *Core) runDue(now time.Duration) {
	c.readHeadIfDue(now)
	c.readListIfDue(now)
	c.fetchIfDue(now)
	c.pullIfDue(now)
	c.updateSurveys(now)
	c.answerDueWaits(now)
}

func (c *Core) emit(d Decision) { c.out = append(c.out, d) }

func (c *Core) nextToken() Token {
	c.tokens++
	return c.tokens
}

// Revision returns the applied revision; 0 for none.
func (c *Core) Revision() uint64 { return c.state.applied }

// FreshUntil returns the time, since the start of the process, until which new work may be
// admitted; 0 means not at all.
func (c *Core) FreshUntil() time.Duration {
	at, ok := c.state.latestAt()
	if !ok || c.state.applied == 0 {
		return 0
	}
	return at + c.settings.Bound
}

// addTableProof records a proof of the table and reports whether it is more recent.
func (c *Core) addTableProof(p Proof, now time.Duration) bool {
	return c.noteRenewal(c.state.addTableProof(p), now)
}

// addGrant records a proof of an outage and reports whether it is more recent.
func (c *Core) addGrant(p Proof, now time.Duration) bool {
	return c.noteRenewal(c.state.addGrant(p), now)
}

func (c *Core) noteRenewal(renewed bool, now time.Duration) bool {
	if renewed {
		c.renewedAt = now
	}
	return renewed
}

// lacksOwnProof reports whether this node's own reads have brought no proof for two read
// intervals.
func (c *Core) lacksOwnProof(now time.Duration) bool {
	return !c.headReads.proved || now-c.headReads.provedAt > 2*c.settings.ReadInterval
}

// isReader reports whether this node reads the table for its failure domain.
func (c *Core) isReader(now time.Duration) bool {
	return !c.stopping && c.roster.rank(now) < c.settings.Readers
}

// Status returns this node's state without the preset, which the [Syncer] adds.
func (c *Core) Status(now time.Duration) Status {
	table := c.state.tableAge(now)
	fresh := now < c.FreshUntil()
	s := Status{
		Revision: c.state.applied,
		Fresh:    fresh,
		Outage:   fresh && table >= c.settings.Bound,
		Reader:   c.isReader(now),
		Children: c.heldCalls.childCount(now),
	}
	if at, ok := c.state.latestAt(); ok {
		s.ProofAge = now - at
	}
	if c.pulls.parent != "" {
		s.Parent = c.pulls.peer.Peer
	}
	return s
}
