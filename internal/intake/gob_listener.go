package intake

import (
	"errors"
	"net"
)

// GobListener accepts connections that carry messages of encoding/gob, and bounds their size and the memory
// that all unfinished ones hold. encoding/gob allows messages of a gigabyte and more.
type GobListener struct {
	net.Listener
	name     string
	account  *Account
	observer Observer
}

// MaxMessageBytes is the size of the largest message.
const MaxMessageBytes = 8 << 20

// NewGobListener returns a listener that bounds the messages on the connections of another one.
func NewGobListener(l net.Listener, name string, a *Account, o Observer) *GobListener {
	if o == nil {
		o = noObserver{}
	}
	return &GobListener{l, name, a, o}
}

// Accept waits for a connection.
func (l *GobListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gobConn{Conn: c, listener: l}, nil
}

// gobConn follows the lengths of messages. Only the goroutine that reads uses its fields.
type gobConn struct {
	net.Conn
	listener *GobListener
	// prefixLeft counts the bytes that are left of a message's length, which size takes up.
	prefixLeft int
	size       uint64
	// left counts the bytes that are left of a message.
	left uint64
	held *Holding
}

var errMessage = errors.New("message of a peer is too long, or there is no memory for it")

// Read implements [net.Conn].
func (c *gobConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for rest := p[:n]; len(rest) > 0; {
		if c.left == 0 {
			if !c.stepLength(rest[0]) {
				c.listener.observer.ConnectionClosed(c.listener.name, c.RemoteAddr().String())
				_ = c.Conn.Close() // the error is returned
				return 0, errMessage
			}
			rest = rest[1:]
			continue
		}
		k := min(uint64(len(rest)), c.left)
		rest = rest[k:]
		if c.left -= k; c.held == nil {
			continue
		}
		if c.held.received(int(k)); c.left == 0 {
			c.release()
		}
	}
	if err != nil {
		c.release()
	}
	return n, err
}

// stepLength takes a byte of a message's length. It returns false if the message may not follow.
func (c *gobConn) stepLength(b byte) bool {
	switch {
	case c.prefixLeft > 0:
		c.size = c.size<<8 | uint64(b)
		c.prefixLeft--
	case b < 0x80:
		c.size = uint64(b)
	default: // the negated number of bytes that follow
		c.size, c.prefixLeft = 0, -int(int8(b))
		if c.prefixLeft > 8 {
			return false
		}
	}
	if c.prefixLeft > 0 {
		return true
	}
	if c.size > MaxMessageBytes {
		return false
	}
	c.left = c.size
	return c.size <= progressBytes || c.hold(int64(c.size))
}

// hold reserves memory for a message that is not small.
func (c *gobConn) hold(size int64) bool {
	if c.listener.account == nil {
		return true
	}
	c.held = c.listener.account.holdUnfinished(func() { _ = c.Conn.Close() })
	return c.held.Reserve(size)
}

// release returns the memory of the message.
func (c *gobConn) release() {
	if c.held != nil {
		c.held.Release()
		c.held = nil
	}
}
