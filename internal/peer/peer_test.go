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

func TestCallAnswers(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	server, pool := start(t, &echo{})
	defer server.Close()
	defer pool.Close()
	var reply string
	is.NoErr(pool.Call(context.Background(), server.Addr(), "Echo.Say", "hello", &reply))
	is.Equal(reply, "hello")
	err := pool.Call(context.Background(), server.Addr(), "Echo.Say", "fail", &reply)
	var fromMethod rpc.ServerError
	is.True(errors.As(err, &fromMethod)) // the method's own error
}

// A caller's request is lost when a peer that could not be reached at all is
// taken for one that may have acted: nothing dares to try elsewhere. First
// the peer goes, then it is called. The cause is a refused connection, which
// must be told apart from a lost answer.
func TestCallToGonePeerIsNotSent(t *testing.T) {
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

// An entry hangs after one of its peers is frozen. First a call enters the
// peer and gets no answer, then the caller's time ends, then it calls again.
// The cause would be a pool that kept the stuck connection; the second call
// must go over a new one and be answered.
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

// A node of a large fleet runs out of memory after some days. Duties move, so
// that it has called each other node once, and every connection stays. The cause
// would be a pool that never closes an idle connection; one in use must stay.
func TestIdleConnectionsEnd(t *testing.T) {
	is := is.New(t)
	server, pool := start(t, &echo{})
	defer server.Close()
	defer pool.Close()
	var reply string
	is.NoErr(pool.Call(context.Background(), server.Addr(), "Echo.Say", "hello", &reply))
	now := time.Now()
	busy := pool.kept(server.Addr(), now)
	is.True(pool.kept(server.Addr(), now.Add(2*idleLimit)) == busy) // in use
	pool.release(busy)
	pool.release(busy)
	is.True(pool.kept(server.Addr(), time.Now().Add(4*idleLimit)) == nil) // idle
	is.NoErr(pool.Call(context.Background(), server.Addr(), "Echo.Say", "again", &reply))
}
