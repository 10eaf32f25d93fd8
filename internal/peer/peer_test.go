package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

type echo struct {
	entered chan struct{}
	release chan struct{}
}

func (e *echo) Say(text string, reply *string) error {
	if text == "fail" {
		return errors.New("said no")
	}
	*reply = text
	return nil
}

func (e *echo) Block(_ string, _ *string) error {
	close(e.entered)
	<-e.release
	return nil
}

func start(t *testing.T, e *echo) (*Server, *Pool) {
	t.Helper()
	is := is.New(t)
	server := NewServer()
	is.NoErr(server.Register("Echo", e))
	is.NoErr(server.Start("127.0.0.1:0"))
	return server, NewPool()
}

func TestCallReturnsReplyOrMethodError(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	server, pool := start(t, &echo{})
	defer server.Close()
	defer pool.Close()
	var reply string
	is.NoErr(pool.Call(context.Background(), server.Addr(), "Echo.Say", "hello", &reply))
	is.Equal(reply, "hello")
	err := pool.Call(context.Background(), server.Addr(), "Echo.Say", "fail", &reply)
	var methodErr rpc.ServerError
	is.True(errors.As(err, &methodErr)) // the method's own error
}

// The peer stops, then it is called. If the refused connection were reported like a lost
// response, no caller could safely retry elsewhere, and the request would be lost.
func TestCallToStoppedPeerIsNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := listener.Addr().String()
	is.NoErr(listener.Close())
	pool := NewPool()
	defer pool.Close()
	err = pool.Call(context.Background(), addr, "Echo.Say", "hello", new(string))
	is.True(errors.Is(err, ErrNotSent))
}

// A call to a frozen peer times out; the next call must use a new connection. A stuck
// connection that stays in the pool would block every later call to the peer.
func TestCallAfterFrozenPeerUsesNewConnection(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	e := &echo{entered: make(chan struct{}), release: make(chan struct{})}
	server, pool := start(t, e)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-e.entered
		cancel()
	}()
	err := pool.Call(ctx, server.Addr(), "Echo.Block", "", new(string))
	is.True(errors.Is(err, ErrUnknown))
	var reply string
	is.NoErr(pool.Call(context.Background(), server.Addr(), "Echo.Say", "again", &reply))
	is.Equal(reply, "again")
	close(e.release)
	pool.Close()
	server.Close()
}

// As roles move between nodes over days, a node would accumulate a connection to every
// other node and run out of memory. Idle connections are closed; those in use stay open.
func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	server, pool := start(t, &echo{})
	defer server.Close()
	defer pool.Close()
	var reply string
	is.NoErr(pool.Call(context.Background(), server.Addr(), "Echo.Say", "hello", &reply))
	now := time.Now()
	busy := pool.acquireExisting(server.Addr(), now)
	is.True(pool.acquireExisting(server.Addr(), now.Add(2*idleTimeout)) == busy) // in use
	pool.release(busy)
	pool.release(busy)
	is.True(pool.acquireExisting(server.Addr(), time.Now().Add(4*idleTimeout)) == nil) // idle
	is.NoErr(pool.Call(context.Background(), server.Addr(), "Echo.Say", "again", &reply))
}

// Fails if calls wait beyond their deadline for a peer that is frozen or cut off:
// net/rpc writes a message before the call returns, and the peer does not read it.
func TestCallToPeerThatDoesNotReadEnds(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	pool := NewPool()
	defer pool.Close()
	text := string(make([]byte, 64<<20)) // more than the system buffers
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		var reply string
		done <- pool.Call(ctx, l.Addr().String(), "Echo.Say", text, &reply)
	}()
	select {
	case err := <-done:
		if !errors.Is(err, ErrUnknown) {
			t.Fatalf("got %v, want an unknown result", err)
		}
	case <-time.After(time.Minute):
		t.Fatal("the call has not ended after a minute")
	}
}
