package intake

import (
	"math"
	"net/http"
	"time"
)

// phase is what a connection is used for.
type phase int

const (
	// phaseNew: nothing has been received.
	phaseNew phase = iota
	phaseHead
	phaseBody
	// phaseServed: the whole request has been received and is being served.
	phaseServed
	phaseIdle
	phaseRetired
)

// usage is what a connection is used for when another one needs its place.
type usage int

const (
	busy usage = iota
	idle
	unfinished
)

// usage returns what the connection is used for, and since when without progress.
func (c *Conn) usage() (usage, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseNew, phaseHead, phaseBody:
		return unfinished, c.progressAt
	case phaseIdle:
		return idle, c.progressAt
	}
	return busy, time.Time{}
}

// retire closes the connection unless it carries a complete request.
func (c *Conn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServed {
		return false
	}
	c.phase = phaseRetired
	_ = c.Conn.Close() // the client may have closed it
	return true
}

// beginRequest records that the head of a request has been parsed. It returns false if the connection has
// been closed for another one.
func (c *Conn) beginRequest(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseRetired {
		return false
	}
	if c.held == nil { // a head that came with the request before
		c.held = c.listener.settings.Account.holdUnfinished(c.interrupt)
	}
	c.phase, c.progressAt = phaseServed, time.Now()
	if r.ContentLength == 0 { // net/http may be reading beside the handler
		return c.held.Complete()
	}
	if c.phase, c.bodyLeft = phaseBody, r.ContentLength; c.bodyLeft < 0 {
		c.bodyLeft = math.MaxInt64
	}
	return true
}

// complete records that the whole request has been received. It returns false if it has been evicted.
func (c *Conn) complete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseRetired {
		return false
	}
	c.phase = phaseServed
	return c.held == nil || c.held.Complete()
}

// restTimeout bounds the reading of what the handler has left of a body. net/http reads it after the
// answer, without a deadline, and the client may never send it.
const restTimeout = time.Second

// boundRest bounds the reading of the rest of the body.
func (c *Conn) boundRest() {
	if c.bodyLeft > 0 {
		_ = c.SetReadDeadline(time.Now().Add(restTimeout)) // the connection may be closed
	}
}

// endRequest releases what the current request holds.
func (c *Conn) endRequest() {
	c.mu.Lock()
	held := c.held
	c.held = nil
	if c.phase != phaseRetired {
		c.phase, c.progressAt = phaseIdle, time.Now()
	}
	c.mu.Unlock()
	if held != nil {
		held.Release()
	}
}
