package sim

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// window is how many bytes of one direction may be under way or unread.
	window = 64 << 10
	// sendBuffer is how much of what waits behind them is still sent after the
	// writer has closed: what a kernel would have taken over.
	sendBuffer = 128 << 10
)

// half is one direction of a connection.
type half struct {
	from, to *Host
	unread   []byte
	// flight are the segments under way, in the order in which they were written.
	flight []*packet
	// backlog is what was written and is not under way yet, taken the bytes under
	// way or unread.
	backlog []byte
	taken   int
	// ended is set once the writer's end has arrived; gone when the reader has
	// closed, so that more writing is in vain.
	ended, gone bool
	changed     *sync.Cond
}

// packet is one segment of a connection; an empty one is its end.
type packet struct {
	data    []byte
	arrived bool
}

// conn is one end of a connection.
type conn struct {
	net                   *Network
	in, out               *half
	local, remote         *net.TCPAddr
	closed                bool
	readUntil, writeUntil time.Time
	readTimer             *time.Timer
}

// newPair returns both ends of a connection; the caller holds the lock.
func newPair(a, b *Host, fromPort, toPort int) (*conn, *conn) {
	there := &half{from: a, to: b, changed: sync.NewCond(&a.net.mu)}
	back := &half{from: b, to: a, changed: sync.NewCond(&a.net.mu)}
	local, remote := tcpAddr(a.ip, fromPort), tcpAddr(b.ip, toPort)
	return &conn{net: a.net, in: back, out: there, local: local, remote: remote},
		&conn{net: a.net, in: there, out: back, local: remote, remote: local}
}

// Read returns what has arrived; it waits for something.
func (c *conn) Read(p []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, c.failed("read", net.ErrClosed)
		case len(c.in.unread) > 0:
			n := copy(p, c.in.unread)
			c.in.unread = c.in.unread[n:]
			c.in.taken -= n
			c.in.push()
			return n, nil
		case c.in.ended:
			return 0, io.EOF
		case past(c.readUntil):
			return 0, c.failed("read", os.ErrDeadlineExceeded)
		}
		c.in.changed.Wait()
	}
}

// Write hands bytes over. It never waits: time in a test can't pass while a
// goroutine waits for a lock whose holder waits here, as users of one connection
// do. What does not fit into the window is sent later; once the connection is
// closed, no more of it than sendBuffer.
func (c *conn) Write(p []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	switch {
	case c.closed:
		return 0, c.failed("write", net.ErrClosed)
	case c.out.gone:
		return 0, c.failed("write", syscall.EPIPE)
	case past(c.writeUntil):
		return 0, c.failed("write", os.ErrDeadlineExceeded)
	}
	c.out.backlog = append(c.out.backlog, p...)
	c.out.push()
	return len(p), nil
}

// push sends what fits into the window.
func (h *half) push() {
	for len(h.backlog) > 0 && h.taken < window {
		h.pushOne()
	}
}

func (h *half) pushOne() {
	n := min(len(h.backlog), segment)
	h.carry(h.backlog[:n:n])
	h.backlog = h.backlog[n:]
}

// carry sends a segment; an empty one is the end.
func (h *half) carry(data []byte) {
	h.taken += len(data)
	p := &packet{data: data}
	h.flight = append(h.flight, p)
	h.from.net.send(h.from, h.to, len(data)+headBytes, func() {
		p.arrived = true
		h.deliver()
	})
}

// deliver hands over what has arrived, in order: a segment that was lost holds up
// those behind it.
func (h *half) deliver() {
	for len(h.flight) > 0 && h.flight[0].arrived {
		data := h.flight[0].data
		h.flight = h.flight[1:]
		h.unread = append(h.unread, data...)
		if len(data) == 0 {
			h.ended = true
		}
	}
	h.changed.Broadcast()
}

// headBytes is what the heads of a segment's packets cost on a link.
const headBytes = 54

// Close ends both directions; what is under way still arrives.
func (c *conn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.close()
	return nil
}

// close ends the connection; the caller holds the lock.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.out.backlog = c.out.backlog[:min(len(c.out.backlog), sendBuffer)]
	for len(c.out.backlog) > 0 {
		c.out.pushOne()
	}
	c.out.carry(nil)
	peer := c.in
	peer.from.net.send(peer.to, peer.from, headBytes, func() {
		peer.gone = true
		peer.changed.Broadcast()
	})
	c.in.changed.Broadcast()
	c.out.changed.Broadcast()
	stop(c.readTimer)
}

func stop(t *time.Timer) {
	if t != nil {
		t.Stop()
	}
}

func past(until time.Time) bool { return !until.IsZero() && !time.Now().Before(until) }

func (c *conn) failed(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp4", Source: c.local, Addr: c.remote, Err: err}
}

// LocalAddr and RemoteAddr are the connection's ends.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr is the other end.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline bounds reading and writing.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t) // always nil
	return c.SetWriteDeadline(t)
}

// SetReadDeadline bounds reading.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.readUntil = t
	stop(c.readTimer)
	c.in.changed.Broadcast()
	if t.IsZero() || past(t) || c.closed {
		return nil
	}
	c.readTimer = time.AfterFunc(time.Until(t), func() {
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		c.in.changed.Broadcast()
	})
	return nil
}

// SetWriteDeadline bounds writing.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.writeUntil = t
	return nil
}
