package confsync

import "time"

// childTimeout is how long a peer counts as a child after its last call.
const childTimeout = 3 * time.Second

// heldCalls keeps the calls of children until there is something newer.
type heldCalls struct {
	held     []heldCall
	children map[string]time.Duration
}

// heldCall is a held call and the time of its receipt.
type heldCall struct {
	token    Token
	args     WaitArgs
	received time.Duration
}

func (c *Core) waitRequested(now time.Duration, e WaitRequested) {
	if c.heldCalls.children == nil {
		c.heldCalls.children = map[string]time.Duration{}
	}
	c.heldCalls.children[e.Args.From.ID] = now
	c.roster.down.remove(e.Args.From.ID)
	c.receiveNotice(e.Args.From, now)
	for _, n := range e.Args.Notices {
		c.receiveNotice(n, now)
	}
	c.heldCalls.held = append(c.heldCalls.held, heldCall{token: e.Token, args: e.Args, received: now})
}

// answerDueWaits answers the held calls that are due. Checking all calls in each step is
// cheap: a node holds no more calls than it has children.
func (c *Core) answerDueWaits(now time.Duration) {
	remaining := c.heldCalls.held[:0]
	for _, w := range c.heldCalls.held {
		if c.isDue(w, now) {
			c.answerWait(w, now)
			continue
		}
		remaining = append(remaining, w)
	}
	clear(c.heldCalls.held[len(remaining):])
	c.heldCalls.held = remaining
}

func (c *Core) isDue(w heldCall, now time.Duration) bool {
	waited := now - w.received
	switch {
	case !w.args.Hold, waited >= c.settings.MaxHold:
		return true
	case c.state.applied > w.args.Revision:
		return true
	case c.lacksList(w), len(c.notices.unknownTo(w.args, now)) > 0:
		return true
	default:
		// The answer is sent at the moment of a renewal. A reader's proof thus passes
		// through the whole tree at once, and does not age by a hold at each level.
		return c.renewedAt-w.received >= c.settings.MinHold
	}
}

// lacksList reports whether this node's VM list is newer than the child's.
func (c *Core) lacksList(w heldCall) bool {
	if c.list.digest == 0 || c.list.digest == w.args.ListDigest {
		return false
	}
	return w.args.ListDigest == 0 || c.list.readAt > w.received-w.args.ListAge
}

func (c *Core) answerWait(w heldCall, now time.Duration) {
	reply := WaitReply{
		Revision:   c.state.applied,
		Table:      c.state.table.send(w.received),
		Grant:      c.state.grant.send(w.received),
		ListDigest: c.list.digest,
		ListAge:    w.received - c.list.readAt,
		Notices:    c.notices.unknownTo(w.args, now),
	}
	c.emit(AnswerWait{
		Token: w.token, Reply: reply, Known: w.args.Revision, Full: w.args.Full,
		KnownList: w.args.ListDigest, SendList: c.lacksList(w),
	})
}

// childCount returns the number of peers that called within childTimeout.
func (h *heldCalls) childCount(now time.Duration) int {
	for id, at := range h.children {
		if now-at > childTimeout {
			delete(h.children, id)
		}
	}
	return len(h.children)
}
