package confsync

import "time"

// listing reads the platform's VM list, or takes it from peers.
type listing struct {
	digest uint64
	// at is no later than the start of the read of the list; firstAt is that
	// of the first list that this process had.
	at      time.Duration
	firstAt time.Duration
	had     bool
	// vouched is the digest of a list that is as good as if it had settled.
	vouched uint64
	busy    bool
	token   Token
	sent    time.Duration
	next    time.Duration
}

// standbyLists is after how many gaps without a list another reader of the
// failure domain reads it too.
const standbyLists = 3

func (l *listing) age(now time.Duration) time.Duration {
	if l.digest == 0 {
		return 0
	}
	return now - l.at
}

func (l *listing) read(e ListRead) {
	if !l.busy || l.token != e.Token {
		return
	}
	l.busy = false
	if l.digest == 0 || l.sent > l.at {
		l.digest = e.Digest
		l.take(l.sent)
	}
}

func (l *listing) take(at time.Duration) {
	l.at = at
	if !l.had {
		l.had = true
		l.firstAt = at
	}
}

// distrust counts the lists anew, as if this process had started now.
func (l *listing) distrust(now time.Duration) {
	l.vouched = 0
	if l.had {
		l.firstAt = now
	}
}

// span is the time over which this process has had lists.
func (l *listing) span() time.Duration { return l.at - l.firstAt }

func (l *listing) failed(t Token) {
	if l.busy && l.token == t {
		l.busy = false
	}
}

// driveList reads the list when this node is the first reader of its failure
// domain, when that one's list does not come, or when no list is known at all.
func (c *Core) driveList(now time.Duration) {
	l := &c.listing
	if l.busy || now < l.next || !c.readsList(now) {
		return
	}
	l.busy = true
	l.token = c.token()
	l.sent = now
	l.next = now + c.settings.ListGap
	c.decide(ReadList{Token: l.token})
}

func (c *Core) readsList(now time.Duration) bool {
	if c.listing.digest == 0 || c.roster.rank(now) == 0 {
		return true
	}
	return c.isReader(now) && c.listing.age(now) > standbyLists*c.settings.ListGap
}

// takeList takes a peer's list, or the news that the one known here was read
// again and is the same.
func (c *Core) takeList(r WaitReply, sent time.Duration) {
	l := &c.listing
	if r.ListDigest == 0 {
		return
	}
	at := sent - r.ListAge
	if l.digest != 0 && at <= l.at {
		return
	}
	if r.ListDigest == l.digest {
		l.take(at)
		return
	}
	if r.List == nil || r.List.To != r.ListDigest {
		return
	}
	l.digest = r.ListDigest
	l.take(at)
	c.decide(TakeList{List: *r.List})
}

// listTakeFailed forgets the list, so that the next peer sends it whole.
func (c *Core) listTakeFailed(now time.Duration) {
	c.listing.digest = 0
	c.pulling.next = max(c.pulling.next, now+fetchRetry)
}

// ListDigest names the VM list taken last, 0 for none.
func (c *Core) ListDigest() uint64 { return c.listing.digest }

// ListAt is no later than the start of the read of that list.
func (c *Core) ListAt() time.Duration { return c.listing.at }
