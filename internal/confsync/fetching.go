package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/archive"
)

// fetchRetry is the delay before a failed fetch is retried.
const fetchRetry = 250 * time.Millisecond

// fetcher tracks the fetches of documents from the table and from peers.
type fetcher struct {
	// wanted is the newest revision that a read of the head returned.
	wanted uint64
	// tableFetch is the running fetch from the table, peerUpdate the update from a peer
	// that is being applied; 0 for none. They are independent, so that a peer's update does
	// not wait for a slow table.
	tableFetch Token
	peerUpdate Token
	nextFetch  time.Duration
	// full requests the full document from the next peer.
	full bool
}

func (f *fetcher) request(revision uint64) { f.wanted = max(f.wanted, revision) }

// fetchIfDue fetches the newest wanted document from the table, one at a time.
func (c *Core) fetchIfDue(now time.Duration) {
	f := &c.fetches
	if f.tableFetch != 0 || f.wanted <= c.state.applied || now < f.nextFetch {
		return
	}
	f.tableFetch = c.nextToken()
	c.emit(Fetch{Token: f.tableFetch, Revision: f.wanted})
}

// applyPeerUpdate applies an update received from a peer, unless another one is being applied.
func (c *Core) applyPeerUpdate(u *archive.Update) {
	if u == nil || c.fetches.peerUpdate != 0 || !c.rules.mayReplace(c.state.applied, u.To) {
		return
	}
	c.fetches.peerUpdate = c.nextToken()
	c.emit(Apply{Token: c.fetches.peerUpdate, Update: *u})
}

func (c *Core) applied(now time.Duration, e Applied) {
	c.fetches.finish(e.Token)
	c.state.learn(e.Revision, now)
	if c.state.apply(e.Revision) {
		c.fetches.full = false
		c.renewedAt = now
	}
}

func (c *Core) applyFailed(now time.Duration, t Token) {
	if c.fetches.finish(t) {
		c.fetches.full = true
		// The same peer would immediately send the same update again.
		c.pulls.nextPull = max(c.pulls.nextPull, now+fetchRetry)
		return
	}
	c.fetches.nextFetch = now + fetchRetry
}

// finish records the end of a fetch or an update, and reports whether it was not the fetch from
// the table.
func (f *fetcher) finish(t Token) bool {
	if f.tableFetch == t {
		f.tableFetch = 0
		return false
	}
	if f.peerUpdate == t {
		f.peerUpdate = 0
	}
	return true
}
