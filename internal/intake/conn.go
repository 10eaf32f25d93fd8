package intake

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	listener *Listener

	// The goroutine that reads uses the fields up to mu alone, between requests also the handler's.
	//
	// rest are bytes behind the end of a head, which net/http has not been given yet.
	rest []byte
	head head
	// reserved is what the head has of the request's holding.
	reserved int64
	// bodyLeft counts the bytes that are left of the body.
	bodyLeft int64
	// refused is set once a head has been refused. net/http reads on after an error.
	refused bool

	mu    sync.Mutex
	phase phase
	// progressAt is when the phase began, or when the body last made progress.
	progressAt time.Time
	// held is the memory of the current request; nil for none.
	held *Holding
	// headDeadline bounds the receipt of the current head.
	headDeadline time.Time
	// interrupted is set once reads are to fail.
	interrupted bool
}

// Read gives net/http the bytes of one head or body at a time, so that the next head is counted before
// it is parsed.
func (c *Conn) Read(p []byte) (int, error) {
	if c.listener.settings.Account == nil {
		return c.readUncounted(p)
	}
	if c.refused {
		return 0, errRefused
	}
	if c.bodyLeft > 0 {
		n, err := c.take(p[:min(int64(len(p)), c.bodyLeft)])
		c.noteBody(n)
		return n, err
	}
	n, err := c.take(p)
	if n == 0 {
		return 0, c.headError(err)
	}
	held, open := c.beginHead()
	if !open {
		return 0, errRetired
	}
	own := c.head.scan(p[:n])
	if own < n {
		c.rest = append(append(make([]byte, 0, n-own+len(c.rest)), p[own:n]...), c.rest...)
	}
	if reason := c.reserveHead(held); reason != "" {
		return 0, c.refuse(reason, true)
	}
	return own, err
}

// readUncounted reads from a connection that does not carry HTTP. Its writes count as progress too.
func (c *Conn) readUncounted(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.noteUse()
	}
	return n, err
}

// Write implements [net.Conn].
func (c *Conn) Write(p []byte) (int, error) {
	if c.listener.settings.Account == nil {
		c.noteUse()
	}
	return c.Conn.Write(p)
}

// noteUse records that a connection without HTTP is used: it is idle from now on.
func (c *Conn) noteUse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseRetired {
		c.phase, c.progressAt = phaseIdle, time.Now()
	}
}

// take reads what is left over from the last read, or from the connection.
func (c *Conn) take(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.rest)
	if c.rest = c.rest[n:]; len(c.rest) == 0 {
		c.rest = nil
	}
	return n, nil
}

var errRetired = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the connection has made room for another one")}

// beginHead begins a request with its first byte. It returns the holding of the head; nil while another
// request is served, as net/http then reads one byte of the next one. It returns false if the connection is
// closed.
func (c *Conn) beginHead() (*Holding, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseRetired:
		return nil, false
	case c.phase == phaseServed || c.phase == phaseBody:
		return nil, true
	case c.held != nil:
		return c.held, true // the head goes on
	}
	c.head, c.reserved = head{}, 0
	c.phase, c.progressAt = phaseHead, time.Now()
	c.held = c.listener.settings.Account.holdUnfinished(c.interrupt)
	c.headDeadline = c.progressAt.Add(c.listener.settings.HeadTimeout() + headTimeoutSlack)
	if !c.interrupted {
		_ = c.Conn.SetReadDeadline(c.headDeadline) // the connection may be closed
	}
	return c.held, true
}

const (
	// headTimeoutSlack and headSlack are what a head may exceed its limits by: the limits of clients are
	// counted from the first byte that they send, on a connection that may be slow.
	headTimeoutSlack = time.Second
	headSlack        = 4 << 10
)

// reserveHead reserves the memory of the head as far as it has arrived. It returns why the head is refused,
// or an empty text.
func (c *Conn) reserveHead(held *Holding) string {
	if held == nil {
		return ""
	}
	if c.head.bytes > int64(c.listener.settings.HeadBytes())+headSlack {
		return reasonTooLong
	}
	if more := c.head.cost() - c.reserved; more > 0 {
		if !held.Reserve(more) {
			return reasonNoMemory
		}
		c.reserved += more
	}
	return ""
}

// noteBody records bytes of the body.
func (c *Conn) noteBody(n int) {
	c.bodyLeft -= int64(n)
	if n == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseBody && c.bodyLeft == 0 {
		c.phase = phaseServed
	}
	if c.held != nil && c.held.received(n) {
		c.progressAt = time.Now()
	}
}

// headError replaces the error of a read of a head whose connection has been interrupted by an answer.
func (c *Conn) headError(err error) error {
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !c.isInterrupted() {
		return err
	}
	return c.refuse(reasonNoMemory, false)
}

func (c *Conn) isInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interrupted
}

// interrupt makes reads fail: the request has been evicted.
func (c *Conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // the connection may be closed
}

// SetReadDeadline implements [net.Conn]. While a head is received, its own deadline is in force.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return nil
	}
	if c.phase == phaseHead && t.After(c.progressAt) {
		t = c.headDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// SetLinger sets how long a close waits for unsent bytes, in seconds; 0 resets the connection.
func (c *Conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// NetConn returns the connection that is wrapped.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the sending direction.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements [net.Conn].
func (c *Conn) Close() error {
	c.listener.remove(c)
	c.endRequest()
	return c.Conn.Close()
}
