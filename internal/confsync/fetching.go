package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/archive"
)

// fetchRetry is the time before a failed fetch is tried again.
const fetchRetry = 250 * time.Millisecond

// fetching brings in the documents of revisions heard of.
type fetching struct {
	// want is the newest revision that a read of the head showed.
	want uint64
	// table and peer are the fetch from the table and the update from a peer
	// under way, 0 for none. A peer's update does not wait for a slow table.
	table Token
	peer  Token
	next  time.Duration
	// full asks the next peer for the whole document.
	full bool
}

func (f *fetching) wantFromTable(revision uint64) { f.want = max(f.want, revision) }

// driveFetch reads a document from the table. One is read at a time; the next
// fetch takes the newest.
func (c *Core) driveFetch(now time.Duration) {
	f := &c.fetch
	if f.table != 0 || f.want <= c.known.applied || now < f.next {
		return
	}
	f.table = c.token()
	c.decide(Fetch{Token: f.table, Revision: f.want})
}

// takeUpdate applies what a peer sent.
func (c *Core) takeUpdate(u *archive.Update) {
	if u == nil || c.fetch.peer != 0 || !c.rules.upward(c.known.applied, u.To) {
		return
	}
	c.fetch.peer = c.token()
	c.decide(Apply{Token: c.fetch.peer, Update: *u})
}

func (c *Core) applied(now time.Duration, e Applied) {
	c.fetch.end(e.Token)
	c.known.learn(e.Revision, now)
	if c.known.apply(e.Revision) {
		c.fetch.full = false
		c.renewedAt = now
	}
}

func (c *Core) applyFailed(now time.Duration, t Token) {
	if c.fetch.end(t) {
		c.fetch.full = true
		// The same peer would send the same update at once again.
		c.pulling.next = max(c.pulling.next, now+fetchRetry)
		return
	}
	c.fetch.next = now + fetchRetry
}

// end notes that a fetch or an update is over; it returns whether a peer's
// update was.
func (f *fetching) end(t Token) bool {
	if f.table == t {
		f.table = 0
		return false
	}
	if f.peer == t {
		f.peer = 0
	}
	return true
}
