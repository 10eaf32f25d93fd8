package peer

import (
	"net"
	"time"
)

// writeTimeout bounds one write to a peer. A peer that is alive reads at once.
const writeTimeout = time.Second

// boundedConn is a connection whose writes fail if the peer does not read.
//
// A call to net/rpc writes its message before it returns. To a peer that is frozen or cut off,
// that blocks once the buffers are full, for every call on the connection and regardless of
// their contexts.
type boundedConn struct{ net.Conn }

// Write implements [net.Conn].
func (c *boundedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
