package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	// firstPullGap and lastPullGap bound the time before the next peer is
	// asked after one that had nothing newer.
	firstPullGap = 50 * time.Millisecond
	lastPullGap  = 800 * time.Millisecond
	// strayTime is for how long a node stays with a peer that is not its
	// parent in the tree.
	strayTime = 5 * time.Second
	// leastPullGap is the time between two calls even when each brings news.
	leastPullGap = 10 * time.Millisecond
)

// pulling keeps one call to a peer that has, or will have, younger proofs.
type pulling struct {
	busy  bool
	token Token
	peer  platform.VM
	sent  time.Duration
	// parent is the id of the peer whose last reply helped.
	parent  string
	settled time.Duration
	cursor  int
	next    time.Duration
	gap     time.Duration
	// wanted is a peer known to have a newer revision.
	wanted platform.VM
}

// prefer makes a peer the next one to be asked.
func (p *pulling) prefer(peer platform.VM, now time.Duration) {
	p.wanted = peer
	p.next = min(p.next, now)
}

// drivePull asks a peer when this node needs one: a node that is no reader
// always, a reader when its own reads stopped to bring proofs.
func (c *Core) drivePull(now time.Duration) {
	p := &c.pulling
	if p.busy || c.fetch.peer != 0 || now < p.next {
		return
	}
	if p.wanted.ID == "" && c.isReader(now) && !c.troubled(now) {
		p.parent = ""
		p.cursor = 0
		return
	}
	peer, hold, ok := c.pickPeer(now)
	if !ok {
		return
	}
	p.busy = true
	p.token = c.token()
	p.peer = peer
	p.sent = now
	c.decide(Wait{Token: p.token, Addr: peer.Peer, Args: c.waitArgs(now, hold)})
}

// pickPeer stays with a peer that helps, for a while also when it is not the
// parent in the tree; else it takes the next candidate and wants an answer at
// once.
func (c *Core) pickPeer(now time.Duration) (peer platform.VM, hold, ok bool) {
	p := &c.pulling
	if wanted := p.wanted; wanted.ID != "" {
		p.wanted = platform.VM{}
		return wanted, false, true
	}
	list := c.roster.candidates(now, c.settings)
	if len(list) == 0 {
		return platform.VM{}, false, false
	}
	if p.parent == "" {
		return list[p.cursor%len(list)], p.cursor >= len(list), true
	}
	if p.parent != list[0].ID && now-p.settled > strayTime {
		p.cursor = 0
		return list[0], false, true
	}
	for _, vm := range list {
		if vm.ID == p.parent {
			return vm, true, true
		}
	}
	p.parent = ""
	p.cursor = 0
	return list[0], false, true
}

func (c *Core) waitArgs(now time.Duration, hold bool) WaitArgs {
	return WaitArgs{
		From:       c.ownNotice(),
		Revision:   c.known.applied,
		Full:       c.fetch.full,
		Hold:       hold,
		ListDigest: c.listing.digest,
		ListAge:    c.listing.age(now),
		Notices:    c.notices.send(now),
	}
}

func (c *Core) waitReplied(now time.Duration, e WaitReplied) {
	p := &c.pulling
	if !p.busy || p.token != e.Token {
		return
	}
	p.busy = false
	c.roster.down.remove(p.peer.ID)
	helped := c.hearReply(now, e.Reply)
	if !helped {
		c.tryNext(now)
		return
	}
	if p.parent != p.peer.ID {
		p.parent = p.peer.ID
		p.settled = now
	}
	p.gap = 0
	p.next = max(p.next, p.sent+leastPullGap)
}

// hearReply takes what a peer knows; it returns whether the peer is of use.
func (c *Core) hearReply(now time.Duration, r WaitReply) bool {
	sent := c.pulling.sent
	c.known.learn(r.Revision, now)
	table := c.proofFrom(r.Table, sent, now)
	newer := c.hearTable(table, now)
	if !newer {
		c.pullFailed(now)
	}
	granted := c.hearGrant(c.proofFrom(r.Grant, sent, now), now)
	c.takeUpdate(r.Update)
	c.takeList(r, sent)
	for _, n := range r.Notices {
		c.hearNotice(n, now)
	}
	young := table.Valid && now-table.At < 2*c.settings.ReadGap && table.Revision >= c.known.applied
	return newer || granted || young
}

func (c *Core) proofFrom(p SentProof, sent, now time.Duration) Proof {
	if !p.Valid {
		return Proof{}
	}
	return Proof{Revision: p.Revision, At: c.rules.proofAt(sent, now, p.Age), Valid: true}
}

// waitFailed marks the peer down for a while: it is frozen, gone or cut off.
func (c *Core) waitFailed(now time.Duration, t Token) {
	p := &c.pulling
	if !p.busy || p.token != t {
		return
	}
	p.busy = false
	c.pullFailed(now)
	c.roster.down.add(p.peer.ID, now)
	c.tryNext(now)
}

// tryNext turns to the next candidate. The first few come fast, so that a
// node whose parent is lost finds another before its proof is too old; after
// that the gap grows, so that an outage of the table makes no storm of calls.
func (c *Core) tryNext(now time.Duration) {
	p := &c.pulling
	if p.parent != "" {
		p.parent = ""
		p.cursor = 0
		p.gap = 0
		return
	}
	p.cursor++
	p.gap = min(max(2*p.gap, firstPullGap), lastPullGap)
	p.next = now + p.gap
}
