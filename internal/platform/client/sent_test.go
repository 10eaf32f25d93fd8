package client

import (
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"
)

// A connection is broken when a commit gets it, or breaks under its first
// byte. The count of writes tells the two apart: with none begun, the caller
// may be told that nothing took effect.
func TestSentCountsWritesOfThisCallOnly(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	_ = far.Close()
	c := &conn{Conn: near}
	_, _ = c.Write([]byte("an earlier call"))

	var fresh sent
	is.True(!fresh.maybe())

	var call sent
	call.got(httptrace.GotConnInfo{Conn: c})
	is.True(!call.maybe())
	_, err := c.Write([]byte("x"))
	is.True(err != nil)
	is.True(call.maybe())
}

// A call that net/http moved to a second connection has still left when the
// first one saw a byte of it.
func TestSentRemembersTheFirstConnection(t *testing.T) {
	is := is.New(t)
	first, second := &conn{Conn: pipe()}, &conn{Conn: pipe()}
	var call sent
	call.got(httptrace.GotConnInfo{Conn: first})
	_, _ = first.Write([]byte("x"))
	call.got(httptrace.GotConnInfo{Conn: second})
	is.True(call.maybe())

	var foreign sent
	foreign.got(httptrace.GotConnInfo{Conn: pipe()})
	is.True(foreign.maybe())
}

func pipe() net.Conn {
	near, far := net.Pipe()
	_ = far.Close()
	return near
}
