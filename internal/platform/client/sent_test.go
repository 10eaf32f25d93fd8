package client

import (
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"
)

// Guards against confusing a connection that was broken before a commit used it with one
// that broke during its first write. Only if no write was started may the client report
// that the commit had no effect.
func TestMaybeSentCountsWritesOfThisCallOnly(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	_ = far.Close()
	c := &countingConn{Conn: near}
	_, _ = c.Write([]byte("an earlier call"))

	var unused sendTracker
	is.True(!unused.maybeSent())

	var call sendTracker
	call.gotConn(httptrace.GotConnInfo{Conn: c})
	is.True(!call.maybeSent())
	_, err := c.Write([]byte("x"))
	is.True(err != nil)
	is.True(call.maybeSent())
}

// Guards against reporting a call as not sent if net/http moved it to a second
// connection after it had written to the first one.
func TestMaybeSentCoversEarlierConnections(t *testing.T) {
	is := is.New(t)
	first, second := &countingConn{Conn: brokenPipe()}, &countingConn{Conn: brokenPipe()}
	var call sendTracker
	call.gotConn(httptrace.GotConnInfo{Conn: first})
	_, _ = first.Write([]byte("x"))
	call.gotConn(httptrace.GotConnInfo{Conn: second})
	is.True(call.maybeSent())

	var untracked sendTracker
	untracked.gotConn(httptrace.GotConnInfo{Conn: brokenPipe()})
	is.True(untracked.maybeSent())
}

func brokenPipe() net.Conn {
	near, far := net.Pipe()
	_ = far.Close()
	return near
}
