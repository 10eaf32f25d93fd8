package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

const (
	// minPullBackoff and maxPullBackoff bound the delay before the next peer is called after
	// one that had nothing newer.
	minPullBackoff = 50 * time.Millisecond
	maxPullBackoff = 800 * time.Millisecond
	// maxDetourTime is how long a node keeps pulling from a peer that is not its parent in
	// the tree.
	maxDetourTime = 5 * time.Second
	// minPullInterval is the minimum interval between two calls, also if each returns something
	// newer.
	minPullInterval = 10 * time.Millisecond
)

// puller keeps one call open to a peer that has, or will have, more recent proofs.
type puller struct {
	inFlight bool
	token    Token
	peer     platform.VM
	sent     time.Duration
	// parent is the ID of the peer that this node pulls from, if its last reply was useful.
	parent      string
	parentSince time.Duration
	cursor      int
	nextPull    time.Duration
	backoff     time.Duration
	// preferred is a peer that has a newer revision.
	preferred platform.VM
}

// prefer makes a peer the next one to be called, at once.
func (p *puller) prefer(peer platform.VM, now time.Duration) {
	p.preferred = peer
	p.nextPull = min(p.nextPull, now)
}

// pullIfDue calls a peer if this node needs one: always if it is not a reader, and otherwise
// while its own reads bring no proofs.
func (c *Core) pullIfDue(now time.Duration) {
	p := &c.pulls
	if p.inFlight || c.fetches.peerUpdate != 0 || now < p.nextPull {
		return
	}
	if p.preferred.ID == "" && c.isReader(now) && !c.lacksOwnProof(now) {
		p.parent = ""
		p.cursor = 0
		return
	}
	peer, hold, ok := c.pickPeer(now)
	if !ok {
		return
	}
	p.inFlight = true
	p.token = c.nextToken()
	p.peer = peer
	p.sent = now
	c.emit(Wait{Token: p.token, Addr: peer.Peer, Args: c.waitArgs(now, hold)})
}

// pickPeer returns the peer to call, and whether it may hold the call. It keeps a useful peer,
// for a limited time if that is not the parent in the tree. Otherwise it returns the next
// candidate, which must respond at once.
func (c *Core) pickPeer(now time.Duration) (peer platform.VM, hold, ok bool) {
	p := &c.pulls
	if preferred := p.preferred; preferred.ID != "" {
		p.preferred = platform.VM{}
		return preferred, false, true
	}
	list := c.roster.candidates(now, c.settings)
	if len(list) == 0 {
		return platform.VM{}, false, false
	}
	if p.parent == "" {
		return list[p.cursor%len(list)], p.cursor >= len(list), true
	}
	if p.parent != list[0].ID && now-p.parentSince > maxDetourTime {
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
		Revision:   c.state.applied,
		Full:       c.fetches.full,
		Hold:       hold,
		ListDigest: c.list.digest,
		ListAge:    c.list.age(now),
		Notices:    c.notices.list(now),
	}
}

func (c *Core) waitReplied(now time.Duration, e WaitReplied) {
	p := &c.pulls
	if !p.inFlight || p.token != e.Token {
		return
	}
	p.inFlight = false
	c.roster.down.remove(p.peer.ID)
	helped := c.handleReply(now, e.Reply)
	if !helped {
		c.nextCandidate(now)
		return
	}
	if p.parent != p.peer.ID {
		p.parent = p.peer.ID
		p.parentSince = now
	}
	p.backoff = 0
	p.nextPull = max(p.nextPull, p.sent+minPullInterval)
}

// handleReply applies a peer's reply and reports whether the peer is useful as a parent.
func (c *Core) handleReply(now time.Duration, r WaitReply) bool {
	sent := c.pulls.sent
	c.state.learn(r.Revision, now)
	table := c.proofFrom(r.Table, sent, now)
	newer := c.addTableProof(table, now)
	if !newer {
		c.pullFailed(now)
	}
	granted := c.addGrant(c.proofFrom(r.Grant, sent, now), now)
	c.applyPeerUpdate(r.Update)
	c.acceptPeerList(r, sent)
	for _, n := range r.Notices {
		c.receiveNotice(n, now)
	}
	recent := table.Valid && now-table.At < 2*c.settings.ReadInterval && table.Revision >= c.state.applied
	return newer || granted || recent
}

// proofFrom converts a proof received in response to a call sent at an instant.
func (c *Core) proofFrom(p SentProof, sent, now time.Duration) Proof {
	if !p.Valid {
		return Proof{}
	}
	return Proof{Revision: p.Revision, At: c.rules.proofAt(sent, now, p.Age), Valid: true}
}

// waitFailed marks the peer down for a while: it is frozen, dead or unreachable.
func (c *Core) waitFailed(now time.Duration, t Token) {
	p := &c.pulls
	if !p.inFlight || p.token != t {
		return
	}
	p.inFlight = false
	c.pullFailed(now)
	c.roster.down.add(p.peer.ID, now)
	c.nextCandidate(now)
}

// nextCandidate moves on to the next candidate. The first few follow quickly, so that a node
// that loses its parent finds another one before its proof expires. Then the delay grows, so
// that an outage of the table does not cause a flood of calls.
func (c *Core) nextCandidate(now time.Duration) {
	p := &c.pulls
	if p.parent != "" {
		p.parent = ""
		p.cursor = 0
		p.backoff = 0
		return
	}
	p.cursor++
	p.backoff = min(max(2*p.backoff, minPullBackoff), maxPullBackoff)
	p.nextPull = now + p.backoff
}
