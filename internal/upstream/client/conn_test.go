package client

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that is reported as not sent and runs later, because the
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

// Guards against reporting a request as not sent although its first byte may have been
// sent, because a write was started and then failed.
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
