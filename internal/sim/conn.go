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
	// window is the maximum number of bytes in flight or unread in one direction.
	window = 64 << 10
	// sendBuffer is the maximum number of unsent bytes that are still sent after the
	// writer has closed. It stands for the kernel's send buffer.
	sendBuffer = 128 << 10
)

// direction is the byte stream of a connection from one host to the other.
type direction struct {
	from, to *Host
	unread   []byte
	// inFlight holds the segments that were sent but not delivered, in write order.
	inFlight []*packet
	// unsent holds the bytes that were written but not sent.
	unsent []byte
	// windowUsed is the number of bytes in flight or unread.
	windowUsed int
	// writerClosed is set once the end of the stream has been delivered. readerClosed is
	// set once the reader's close has arrived; writes then fail.
	writerClosed, readerClosed bool
	changed                    *sync.Cond
}

// packet is one segment of a stream; an empty packet marks the end of the stream.
type packet struct {
	data    []byte
	arrived bool
}

// conn is one end of a connection.
type conn struct {
	net                         *Network
	in, out                     *direction
	local, remote               *net.TCPAddr
	closed                      bool
	readDeadline, writeDeadline time.Time
	readTimer                   *time.Timer
}

// newPair returns both ends of a connection. The caller holds the network's lock.
func newPair(a, b *Host, fromPort, toPort int) (*conn, *conn) {
	forward := &direction{from: a, to: b, changed: sync.NewCond(&a.net.mu)}
	backward := &direction{from: b, to: a, changed: sync.NewCond(&a.net.mu)}
	local, remote := tcpAddr(a.ip, fromPort), tcpAddr(b.ip, toPort)
	return &conn{net: a.net, in: backward, out: forward, local: local, remote: remote},
		&conn{net: a.net, in: forward, out: backward, local: remote, remote: local}
}

// Read returns the bytes that were delivered. It blocks until there are any, the
// stream ends, the read deadline passes or the connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, c.opError("read", net.ErrClosed)
		case len(c.in.unread) > 0:
			n := copy(p, c.in.unread)
			c.in.unread = c.in.unread[n:]
			c.in.windowUsed -= n
			c.in.fillWindow()
			return n, nil
		case c.in.writerClosed:
			return 0, io.EOF
		case expired(c.readDeadline):
			return 0, c.opError("read", os.ErrDeadlineExceeded)
		}
		c.in.changed.Wait()
	}
}

// Write queues bytes for sending and never blocks. Users of one connection share a
// lock: if its holder blocked in Write, the goroutines that wait for the lock would
// stop virtual time. Bytes beyond the window are sent later; after Close at most
// sendBuffer of them are sent.
func (c *conn) Write(p []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	switch {
	case c.closed:
		return 0, c.opError("write", net.ErrClosed)
	case c.out.readerClosed:
		return 0, c.opError("write", syscall.EPIPE)
	case expired(c.writeDeadline):
		return 0, c.opError("write", os.ErrDeadlineExceeded)
	}
	c.out.unsent = append(c.out.unsent, p...)
	c.out.fillWindow()
	return len(p), nil
}

// fillWindow sends unsent bytes until the window is full.
func (h *direction) fillWindow() {
	for len(h.unsent) > 0 && h.windowUsed < window {
		h.sendNext()
	}
}

// sendNext sends the next segment of the unsent bytes.
func (h *direction) sendNext() {
	n := min(len(h.unsent), segmentSize)
	h.sendSegment(h.unsent[:n:n])
	h.unsent = h.unsent[n:]
}

// sendSegment sends a segment; an empty one marks the end of the stream.
func (h *direction) sendSegment(data []byte) {
	h.windowUsed += len(data)
	p := &packet{data: data}
	h.inFlight = append(h.inFlight, p)
	h.from.net.send(h.from, h.to, len(data)+headerBytes, func() {
		p.arrived = true
		h.deliver()
	})
}

// deliver makes the segments that arrived readable, in write order. A lost segment
// delays all later ones until its retransmission arrives.
func (h *direction) deliver() {
	for len(h.inFlight) > 0 && h.inFlight[0].arrived {
		data := h.inFlight[0].data
		h.inFlight = h.inFlight[1:]
		h.unread = append(h.unread, data...)
		if len(data) == 0 {
			h.writerClosed = true
		}
	}
	h.changed.Broadcast()
}

// headerBytes is the size of the packet headers that a segment adds on a link.
const headerBytes = 54

// Close closes both directions. Bytes in flight are still delivered.
func (c *conn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.close()
	return nil
}

// close closes the connection. The caller holds the network's lock.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.out.from.open, c)
	c.out.unsent = c.out.unsent[:min(len(c.out.unsent), sendBuffer)]
	for len(c.out.unsent) > 0 {
		c.out.sendNext()
	}
	c.out.sendSegment(nil)
	peer := c.in
	peer.from.net.send(peer.to, peer.from, headerBytes, func() {
		peer.readerClosed = true
		peer.changed.Broadcast()
	})
	c.in.changed.Broadcast()
	c.out.changed.Broadcast()
	stopTimer(c.readTimer)
}

func stopTimer(t *time.Timer) {
	if t != nil {
		t.Stop()
	}
}

func expired(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

func (c *conn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp4", Source: c.local, Addr: c.remote, Err: err}
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the read and the write deadline; the zero time removes them.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t) // always nil
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets the time after which Read fails; the zero time removes it.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.readDeadline = t
	stopTimer(c.readTimer)
	c.in.changed.Broadcast()
	if t.IsZero() || expired(t) || c.closed {
		return nil
	}
	c.readTimer = time.AfterFunc(time.Until(t), func() {
		c.net.mu.Lock()
		defer c.net.mu.Unlock()
		c.in.changed.Broadcast()
	})
	return nil
}

// SetWriteDeadline sets the time after which Write fails; the zero time removes it.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.writeDeadline = t
	return nil
}
