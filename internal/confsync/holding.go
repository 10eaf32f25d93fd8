package confsync

import "time"

// childTime is for how long a peer that asked counts as a child.
const childTime = 3 * time.Second

// holding keeps the calls of children until there is something newer.
type holding struct {
	held     []heldWait
	children map[string]time.Duration
}

// heldWait is one call.
type heldWait struct {
	token    Token
	args     WaitArgs
	received time.Duration
}

func (c *Core) waitAsked(now time.Duration, e WaitAsked) {
	if c.holding.children == nil {
		c.holding.children = map[string]time.Duration{}
	}
	c.holding.children[e.Args.From.ID] = now
	c.roster.down.remove(e.Args.From.ID)
	c.hearNotice(e.Args.From, now)
	for _, n := range e.Args.Notices {
		c.hearNotice(n, now)
	}
	c.holding.held = append(c.holding.held, heldWait{token: e.Token, args: e.Args, received: now})
}

// driveHeld answers the calls that have waited enough. One look at all calls
// for each step is enough: a node holds as many as it has children.
func (c *Core) driveHeld(now time.Duration) {
	kept := c.holding.held[:0]
	for _, w := range c.holding.held {
		if c.due(w, now) {
			c.answerWait(w, now)
			continue
		}
		kept = append(kept, w)
	}
	clear(c.holding.held[len(kept):])
	c.holding.held = kept
}

func (c *Core) due(w heldWait, now time.Duration) bool {
	waited := now - w.received
	switch {
	case !w.args.Hold, waited >= c.settings.MaxHold:
		return true
	case c.known.applied > w.args.Revision:
		return true
	case c.lacksList(w), len(c.notices.lacking(w.args, now)) > 0:
		return true
	default:
		// The answer leaves at the instant of a renewal, not some time after
		// it: so a reader's proof runs down the whole tree at once, and does
		// not age by a hold at each level.
		return c.renewedAt-w.received >= c.settings.MinHold
	}
}

// lacksList says whether this node's VM list is newer than the child's.
func (c *Core) lacksList(w heldWait) bool {
	if c.listing.digest == 0 || c.listing.digest == w.args.ListDigest {
		return false
	}
	return w.args.ListDigest == 0 || c.listing.at > w.received-w.args.ListAge
}

func (c *Core) answerWait(w heldWait, now time.Duration) {
	reply := WaitReply{
		Revision:   c.known.applied,
		Table:      c.known.table.send(w.received),
		Grant:      c.known.grant.send(w.received),
		ListDigest: c.listing.digest,
		ListAge:    w.received - c.listing.at,
		Notices:    c.notices.lacking(w.args, now),
	}
	c.decide(AnswerWait{
		Token: w.token, Reply: reply, Known: w.args.Revision, Full: w.args.Full,
		KnownList: w.args.ListDigest, SendList: c.lacksList(w),
	})
}

// count counts the peers that asked of late.
func (h *holding) count(now time.Duration) int {
	for id, at := range h.children {
		if now-at > childTime {
			delete(h.children, id)
		}
	}
	return len(h.children)
}
