package client

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"
)

// A request that is reported as not sent must not run later. That happens if the
// transport writes it after it returned the failure.
func TestSealedConnectionWritesNothing(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { is.NoErr(near.Close()) }()
	defer func() { is.NoErr(far.Close()) }()
	c := &sealableConn{Conn: near}
	is.True(c.seal(c.writesStarted()))
	_, err := c.Write([]byte("late"))
	is.True(errors.Is(err, errSealed))
}

// If a write was started and then failed, its first byte may have been sent. Fails if the
// request is reported as not sent.
func TestFailedWriteCounts(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	is.NoErr(far.Close())
	c := &sealableConn{Conn: near}
	before := c.writesStarted()
	_, err := c.Write([]byte("x"))
	is.True(err != nil)
	is.True(!c.seal(before))
	is.NoErr(near.Close())
}
