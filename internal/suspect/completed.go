package suspect

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

const (
	// completedFor is how long a completion speaks for a request.
	completedFor = time.Minute
	// completedMost bounds the completions remembered in half that time.
	completedMost = 4096
)

// completed remembers which fingerprints have completed lately.
//
// It guards against convicting a body that many callers send: it is in flight
// at every crash, whatever the cause, and would be refused to all of them. A
// request that crashes each upstream that runs it never completes.
type completed struct {
	now      map[request.Fingerprint]struct{}
	previous map[request.Fingerprint]struct{}
	began    time.Duration
}

func (c *completed) add(f request.Fingerprint, now time.Duration) {
	c.turn(now)
	if c.now == nil || len(c.now) >= completedMost {
		c.previous, c.now = c.now, map[request.Fingerprint]struct{}{}
	}
	c.now[f] = struct{}{}
}

func (c *completed) has(f request.Fingerprint, now time.Duration) bool {
	c.turn(now)
	_, lately := c.now[f]
	_, before := c.previous[f]
	return lately || before
}

// turn forgets the older half.
func (c *completed) turn(now time.Duration) {
	if now < c.began+completedFor/2 {
		return
	}
	if now >= c.began+completedFor {
		c.now = nil
	}
	c.previous, c.now = c.now, nil
	c.began = now
}
