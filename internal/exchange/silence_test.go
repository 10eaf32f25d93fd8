package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if work that may not be repeated is broken off on a lost link, if work that may be
// waits on, or if an upstream that sends bytes counts as silent.
func TestAbortSilentEndsRepeatableExchanges(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	silent := startServer(t, func(c net.Conn, in *bufio.Reader, _ int) {
		if req, err := readRequest(in); err == nil {
			<-release
			writeResponse(c, req.Header.Get(idField), "late")
		}
	})
	p := NewPool(Settings{})
	defer p.Close()
	results := map[bool]chan *Failure{true: make(chan *Failure, 1), false: make(chan *Failure, 1)}
	for repeatable, result := range results {
		go func() {
			req := newRequest("a")
			if repeatable {
				req.LinkLost = func() bool { return true }
			}
			resp, failure := p.Do(context.Background(), silent, req)
			if failure == nil {
				resp.Close()
			}
			result <- failure
		}()
	}
	for len(p.SilentUpstreams(time.Now())) == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	p.AbortSilent(func(addr string) bool { return addr != silent }, time.Now())
	select {
	case <-results[true]:
		t.Fatal("an exchange at another upstream was ended")
	default:
	}
	p.AbortSilent(func(addr string) bool { return addr == silent }, time.Now().Add(silentAfter))
	ended := <-results[true]
	is.Equal(ended.Reason, LinkLost)
	is.True(ended.Sent) // it may have run
	close(release)
	is.Equal(<-results[false], nil)
}

// Fails if an exchange is ended because the link was lost under an earlier one on its connection.
func TestAbortSilentSparesTheNextExchange(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{}, 2)
	addr := startServer(t, func(c net.Conn, in *bufio.Reader, _ int) {
		for {
			req, err := readRequest(in)
			if err != nil {
				return
			}
			<-release
			writeResponse(c, req.Header.Get(idField), "ok")
		}
	})
	p := NewPool(Settings{})
	defer p.Close()
	next := make(chan *Failure, 1)
	first := newRequest("a")
	ended := make(chan struct{})
	first.LinkLost = func() bool { // the exchange ends while it is asked
		release <- struct{}{}
		<-ended
		go func() {
			req := newRequest("b")
			req.LinkLost = func() bool { return true }
			resp, failure := p.Do(context.Background(), addr, req)
			if failure == nil {
				_, _ = io.ReadAll(resp)
				resp.Close()
			}
			next <- failure
		}()
		for p.activeExchanges() == 0 {
			runtime.Gosched()
		}
		return true
	}
	go func() {
		resp, failure := p.Do(context.Background(), addr, first)
		if failure == nil {
			_, _ = io.ReadAll(resp)
			resp.Close()
		}
		close(ended)
	}()
	for len(p.SilentUpstreams(time.Now())) == 0 {
		runtime.Gosched()
	}
	p.AbortSilent(func(string) bool { return true }, time.Now())
	release <- struct{}{}
	is.Equal(<-next, nil)
	is.Equal(p.Opened(), int64(1)) // both used one connection
}

// activeExchanges returns the number of exchanges that connections carry.
func (p *Pool) activeExchanges() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.active)
}

// Fails if a relayed connection is used again: its peer may stop at any time.
func TestRelayedConnectionCarriesOneExchange(t *testing.T) {
	is := is.New(t)
	conns := make(chan int, 10)
	addr := startServer(t, func(c net.Conn, in *bufio.Reader, conn int) {
		for {
			req, err := readRequest(in)
			if err != nil {
				return
			}
			conns <- conn
			writeResponse(c, req.Header.Get(idField), "ok")
		}
	})
	p := NewPool(Settings{Dialer: relayingDialer{}})
	defer p.Close()
	for _, id := range []string{"a", "b"} {
		_, failure := exchangeBody(t, p, addr, id)
		is.Equal(failure, nil)
	}
	first, second := <-conns, <-conns
	is.True(first != second)
}

// relayingDialer marks its connections as relayed.
type relayingDialer struct{}

type relayingConn struct{ net.Conn }

func (relayingConn) Relayed() bool { return true }

func (relayingDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp4", addr)
	return relayingConn{c}, err
}
