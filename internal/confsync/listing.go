package confsync

import "time"

// listState is the state of the platform's VM list, which is read here or received from peers.
type listState struct {
	digest uint64
	// readAt is not later than the start of the read of the list; firstReadAt is the same for
	// the first list of this process.
	readAt      time.Duration
	firstReadAt time.Duration
	hasList     bool
	// vouchedDigest is the digest of a list that counts as settled, because a voter vouched for
	// it.
	vouchedDigest uint64
	inFlight      bool
	token         Token
	sent          time.Duration
	nextRead      time.Duration
}

// standbyIntervals is the number of read intervals without a newer list after which the other
// readers of the failure domain read the list too.
const standbyIntervals = 3

func (l *listState) age(now time.Duration) time.Duration {
	if l.digest == 0 {
		return 0
	}
	return now - l.readAt
}

// readDone records the result of a read, unless a peer has sent a more recent list meanwhile.
func (l *listState) readDone(e ListRead) {
	if !l.inFlight || l.token != e.Token {
		return
	}
	l.inFlight = false
	if l.digest == 0 || l.sent > l.readAt {
		l.digest = e.Digest
		l.setReadAt(l.sent)
	}
}

// setReadAt records the read time of the current list.
func (l *listState) setReadAt(at time.Duration) {
	l.readAt = at
	if !l.hasList {
		l.hasList = true
		l.firstReadAt = at
	}
}

// resetSpan restarts the time over which lists must settle, as if this process had started now.
func (l *listState) resetSpan(now time.Duration) {
	l.vouchedDigest = 0
	if l.hasList {
		l.firstReadAt = now
	}
}

// span returns the time over which this process has had lists.
func (l *listState) span() time.Duration { return l.readAt - l.firstReadAt }

func (l *listState) readFailed(t Token) {
	if l.inFlight && l.token == t {
		l.inFlight = false
	}
}

// readListIfDue reads the list if this node is the first reader of its failure domain, if that
// reader's list does not arrive, or if no list is known.
func (c *Core) readListIfDue(now time.Duration) {
	l := &c.list
	if l.inFlight || now < l.nextRead || !c.shouldReadList(now) {
		return
	}
	l.inFlight = true
	l.token = c.nextToken()
	l.sent = now
	l.nextRead = now + c.settings.ListInterval
	c.emit(ReadList{Token: l.token})
}

func (c *Core) shouldReadList(now time.Duration) bool {
	if c.list.digest == 0 || c.roster.rank(now) == 0 {
		return true
	}
	return c.isReader(now) && c.list.age(now) > standbyIntervals*c.settings.ListInterval
}

// acceptPeerList applies a peer's list, or the later read time of the list that this node has.
func (c *Core) acceptPeerList(r WaitReply, sent time.Duration) {
	l := &c.list
	if r.ListDigest == 0 {
		return
	}
	at := sent - r.ListAge
	if l.digest != 0 && at <= l.readAt {
		return
	}
	if r.ListDigest == l.digest {
		l.setReadAt(at)
		return
	}
	if r.List == nil || r.List.To != r.ListDigest {
		return
	}
	l.digest = r.ListDigest
	l.setReadAt(at)
	c.emit(AcceptList{List: *r.List})
}

// peerListRejected forgets the list, so that the next peer sends it in full.
func (c *Core) peerListRejected(now time.Duration) {
	c.list.digest = 0
	c.pulls.nextPull = max(c.pulls.nextPull, now+fetchRetry)
}

// ListDigest returns the digest of the current VM list; 0 for none.
func (c *Core) ListDigest() uint64 { return c.list.digest }

// ListReadAt returns the read time of the current VM list, since the start of the process. It
// is not later than the start of the read.
func (c *Core) ListReadAt() time.Duration { return c.list.readAt }
