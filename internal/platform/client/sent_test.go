package client

import (
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"
)

// The client may report that a commit had no effect only if no write was started. A
// connection that was broken before the commit used it must be told apart from one that
// broke during the commit's first write.
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

// A call must not be reported as not sent if net/http moved it to a second connection
// after it had written to the first one.
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
