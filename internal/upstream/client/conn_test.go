package client

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"
)

// A request is called "not run" and runs after all: the transport's writer is
// still about to write when the failure is returned.
func TestSealedConnectionWritesNothing(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer func() { is.NoErr(near.Close()) }()
	defer func() { is.NoErr(far.Close()) }()
	c := &conn{Conn: near}
	is.True(c.sealUnwritten(c.begun()))
	_, err := c.Write([]byte("late"))
	is.True(errors.Is(err, errSealed))
}

// A request is called "not run" although its first byte has left: the write
// began and then failed.
func TestBegunWriteCounts(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	is.NoErr(far.Close())
	c := &conn{Conn: near}
	before := c.begun()
	_, err := c.Write([]byte("x"))
	is.True(err != nil)
	is.True(!c.sealUnwritten(before))
	is.NoErr(near.Close())
}
