package client

import (
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

var errSealed = eris.New("connection is sealed")

// conn counts the writes that were begun on a connection, and can be sealed
// against further ones.
//
// It guards against calling a request "not sent" whose bytes have left. The
// transport reports many failures alike whether it has written or not, and its
// writer may still be about to write when the failure is returned. Sealing and
// comparing the count under one lock makes "nothing was written" final.
type conn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts the write before any byte can leave.
func (c *conn) Write(b []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

func (c *conn) begun() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealUnwritten forbids all further writes and reports whether none was begun
// since the count was before.
func (c *conn) sealUnwritten(before uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes == before
}
