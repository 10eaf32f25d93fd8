package relay

import (
	"encoding/binary"
	"io"
	"net"
)

// Conn is a connection to an upstream through a peer.
//
// The bytes from the upstream come in frames, and a frame of length 0 is their end. Without
// frames, the end of the peer's process would look like the end of a complete answer that has
// no length.
type Conn struct {
	net.Conn
	// Peer is the ID of the peer.
	Peer string

	frameLeft int
	ended     bool
}

// Read returns bytes from the upstream. It returns io.EOF only if the upstream has closed
// the connection, and io.ErrUnexpectedEOF if the peer's connection ends before.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.frameLeft == 0 {
		var head [2]byte
		if _, err := io.ReadFull(c.Conn, head[:]); err != nil {
			return 0, noEOF(err)
		}
		c.frameLeft = int(binary.BigEndian.Uint16(head[:]))
		if c.frameLeft == 0 {
			c.ended = true
			return 0, io.EOF
		}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.frameLeft)])
	c.frameLeft -= n
	return n, noEOF(err)
}

// noEOF replaces io.EOF: a connection that ends outside of frames was broken off.
func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Relayed marks the connection as one through a peer.
func (c *Conn) Relayed() bool { return true }
