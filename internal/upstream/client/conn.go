package client

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/httphead"
)

var errSealed = eris.New("connection is sealed")

// sealableConn counts the writes started on a connection, and can be sealed against
// further writes.
//
// It prevents reporting a request as not sent although bytes were written. The transport
// reports many failures alike whether it has written or not, and may still be about to
// write when it returns the failure. Sealing the connection and comparing the count under
// one lock ensures that nothing is written later.
type sealableConn struct {
	net.Conn
	// checked is the same connection; it checks responses.
	checked *httphead.Conn
	// relayed is set if the connection passes through a peer.
	relayed bool
	open    *openConns
	// activeAt is when bytes last passed, in Unix nanoseconds.
	activeAt atomic.Int64

	mu     sync.Mutex
	writes uint64
	sealed bool
	// maySend is called before the next write, if it is set. With an error the connection is
	// sealed.
	maySend func() error
}

// Write counts the write before it passes any byte on. It returns errSealed on a sealed
// connection.
func (c *sealableConn) Write(b []byte) (int, error) {
	if err := c.startWrite(); err != nil {
		return 0, err
	}
	c.activeAt.Store(time.Now().UnixNano())
	return c.Conn.Write(b)
}

// Read reads from the connection and records when bytes came.
func (c *sealableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.open.noteRead(c, time.Now())
	}
	return n, err
}

// Close closes the connection.
func (c *sealableConn) Close() error {
	c.open.remove(c)
	return c.Conn.Close()
}

// startWrite counts a write. It returns an error if the connection is sealed, or if the next
// request may not be sent.
func (c *sealableConn) startWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	if c.maySend != nil {
		if err := c.maySend(); err != nil {
			c.sealed = true
			return err
		}
		c.maySend = nil
	}
	c.writes++
	return nil
}

// checkNextWrite sets the function that is called before the next write; nil for none.
func (c *sealableConn) checkNextWrite(maySend func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maySend = maySend
}

// writesStarted returns the number of writes started.
func (c *sealableConn) writesStarted() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal seals the connection and reports whether no write was started since the
// count was before.
func (c *sealableConn) seal(before uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes == before
}
