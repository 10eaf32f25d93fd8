package suspect

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

const (
	// completionTTL is how long a completion counts in favour of a request.
	completionTTL = time.Minute
	// maxCompletions bounds the completions kept in half that time.
	maxCompletions = 4096
)

// completions are the fingerprints that have completed recently.
//
// They prevent the conviction of a body that many callers send: it is in flight at every
// crash, whatever the cause, and would be refused to all of them. A request that crashes
// each upstream that runs it never completes.
type completions struct {
	current   map[request.Fingerprint]struct{}
	previous  map[request.Fingerprint]struct{}
	startedAt time.Duration
}

func (c *completions) add(f request.Fingerprint, now time.Duration) {
	c.rotate(now)
	if c.current == nil || len(c.current) >= maxCompletions {
		c.previous, c.current = c.current, map[request.Fingerprint]struct{}{}
	}
	c.current[f] = struct{}{}
}

func (c *completions) has(f request.Fingerprint, now time.Duration) bool {
	c.rotate(now)
	_, lately := c.current[f]
	_, before := c.previous[f]
	return lately || before
}

// rotate drops the older half when its time is over.
func (c *completions) rotate(now time.Duration) {
	if now < c.startedAt+completionTTL/2 {
		return
	}
	if now >= c.startedAt+completionTTL {
		c.current = nil
	}
	c.previous, c.current = c.current, nil
	c.startedAt = now
}
