package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const idField = "Request-Id"

// startServer starts a server that calls serve for each connection, with the connection's
// number from 0, and returns its address.
func startServer(t *testing.T, serve func(c net.Conn, in *bufio.Reader, conn int)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				serve(c, bufio.NewReader(c), n)
				_ = c.Close() // serve has returned
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close() // the test ends
		<-done
	})
	return l.Addr().String()
}

func readRequest(in *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req, err
}

func writeResponse(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body) // the client may have gone
}

func newRequest(id string) *Request {
	return &Request{Method: http.MethodPost, Target: "/a/b?c", Host: "h.example", IDField: idField, ID: id,
		Fields: []Field{{idField, id}}, Body: []byte("body"), HasBody: true}
}

func exchangeBody(t *testing.T, p *Pool, addr, id string) (string, *Failure) {
	t.Helper()
	resp, failure := p.Do(context.Background(), addr, newRequest(id))
	if failure != nil {
		return "", failure
	}
	defer resp.Close()
	data, err := io.ReadAll(resp)
	if err != nil {
		return string(data), &Failure{Sent: true, Reason: Broken, Err: err}
	}
	return string(data), nil
}

// A request must use the previous connection if that is reusable, not open a new one.
func TestConnectionIsReused(t *testing.T) {
	is := is.New(t)
	addr := startServer(t, func(c net.Conn, in *bufio.Reader, _ int) {
		for {
			req, err := readRequest(in)
			if err != nil {
				return
			}
			writeResponse(c, req.Header.Get(idField), req.RequestURI)
		}
	})
	p := NewPool(Settings{})
	defer p.Close()
	for i := range 3 {
		body, failure := exchangeBody(t, p, addr, fmt.Sprint(i))
		is.True(failure == nil)
		is.Equal(body, "/a/b?c")
	}
	is.Equal(p.Opened(), int64(1))
}

// When a reused connection breaks after the upstream has read the request, the request
// may have run, so it is not resent.
func TestBrokenReusedConnectionDoesNotResend(t *testing.T) {
	is := is.New(t)
	var received atomic.Int32
	addr := startServer(t, func(c net.Conn, in *bufio.Reader, conn int) {
		for k := 0; ; k++ {
			req, err := readRequest(in)
			if err != nil {
				return
			}
			received.Add(1)
			if conn == 0 && k == 1 {
				return // the reused connection breaks after the second request
			}
			writeResponse(c, req.Header.Get(idField), "ok")
		}
	})
	p := NewPool(Settings{})
	defer p.Close()
	_, failure := exchangeBody(t, p, addr, "1")
	is.True(failure == nil)
	_, failure = exchangeBody(t, p, addr, "2")
	is.True(failure != nil)
	is.True(failure.Sent)
	is.Equal(received.Load(), int32(2))
}

// The read deadline of one response must not apply to the next on the same connection. The
// next request would fail as if the upstream had broken off, and go to another upstream
// although its response is in transit.
func TestBodyDeadlineDoesNotApplyToNextResponse(t *testing.T) {
	is := is.New(t)
	limitPassed := make(chan struct{})
	addr := startServer(t, func(c net.Conn, in *bufio.Reader, _ int) {
		for k := 0; ; k++ {
			req, err := readRequest(in)
			if err != nil {
				return
			}
			if k == 1 {
				<-limitPassed
			}
			writeResponse(c, req.Header.Get(idField), "ok")
		}
	})
	p := NewPool(Settings{})
	defer p.Close()
	const limit = 50 * time.Millisecond
	resp, failure := p.Do(t.Context(), addr, &Request{Method: http.MethodGet, Target: "/", Host: "h", IDField: idField, ID: "1", Fields: []Field{{idField, "1"}}})
	is.True(failure == nil)
	is.NoErr(resp.Deadline(time.Now().Add(limit)))
	_, err := io.ReadAll(resp)
	is.NoErr(err)
	resp.Close()
	time.AfterFunc(2*limit, func() { close(limitPassed) })
	body, failure := exchangeBody(t, p, addr, "2")
	is.True(failure == nil)
	is.Equal(body, "ok")
	is.Equal(p.Opened(), int64(1))
}

// A refused connection must be reported as nothing sent. If it were reported as if the
// request may have run, a request that is not idempotent could not go to another
// upstream.
func TestConnectFailureReportsNothingSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	p := NewPool(Settings{})
	_, failure := exchangeBody(t, p, addr, "1")
	is.True(failure != nil)
	is.True(!failure.Sent)
	is.Equal(failure.Reason, NotConnected)
	is.True(errors.Unwrap(failure) != nil)
	is.True(strings.Contains(failure.Error(), "not_connected"))
}

// A connection with an unsolicited second response cannot be reused. That response would
// be taken for the response to the next request.
func TestExtraResponseIsNotDelivered(t *testing.T) {
	is := is.New(t)
	addr := startServer(t, func(c net.Conn, in *bufio.Reader, _ int) {
		for {
			req, err := readRequest(in)
			if err != nil {
				return
			}
			id := req.Header.Get(idField)
			writeResponse(c, id, "mine-"+id)
			writeResponse(c, id, "extra")
		}
	})
	p := NewPool(Settings{})
	defer p.Close()
	for i := range 20 {
		body, failure := exchangeBody(t, p, addr, fmt.Sprint(i))
		is.True(failure == nil)
		is.Equal(body, fmt.Sprintf("mine-%d", i))
	}
}

// A late response to an earlier request, which its ID identifies, must be skipped. The
// response to this request follows on the same connection.
func TestLateResponseToEarlierRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	addr := startServer(t, func(c net.Conn, in *bufio.Reader, _ int) {
		req, err := readRequest(in)
		if err != nil {
			return
		}
		writeResponse(c, "earlier", "not yours")
		writeResponse(c, req.Header.Get(idField), "yours")
	})
	p := NewPool(Settings{})
	defer p.Close()
	body, failure := exchangeBody(t, p, addr, "7")
	is.True(failure == nil)
	is.Equal(body, "yours")
}

// Bytes that are not a response, and a response without a request ID, must be rejected.
func TestMalformedResponses(t *testing.T) {
	for _, text := range []string{
		"garbage garbage\r\n\r\n",
		"HTTP/1.1 abc OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
		"",
	} {
		addr := startServer(t, func(c net.Conn, in *bufio.Reader, _ int) {
			if _, err := readRequest(in); err == nil {
				_, _ = io.WriteString(c, text) // the client may have gone
			}
		})
		p := NewPool(Settings{})
		_, failure := exchangeBody(t, p, addr, "1")
		if failure == nil || !failure.Sent {
			t.Errorf("%q: %v", text, failure)
		}
		p.Close()
	}
}

// A response without a length ends with its connection. If the connection is reset, the
// response must not be taken for a complete one.
func TestResponseWithoutLength(t *testing.T) {
	is := is.New(t)
	var reset atomic.Bool
	addr := startServer(t, func(c net.Conn, in *bufio.Reader, _ int) {
		if _, err := readRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\npart") // as above
		if reset.Load() {
			_ = c.(*net.TCPConn).SetLinger(0) // makes Close send a reset
		}
	})
	p := NewPool(Settings{})
	defer p.Close()
	body, failure := exchangeBody(t, p, addr, "1")
	is.True(failure == nil)
	is.Equal(body, "part")
	reset.Store(true)
	_, failure = exchangeBody(t, p, addr, "1")
	is.True(failure != nil)
}

// If the upstream responds before it has read a long body, the rest of the body would
// precede the next request on that connection. So the connection must not be reused.
func TestResponseBeforeBodyIsWrittenClosesConnection(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int32
	stop := make(chan struct{})
	addr := startServer(t, func(c net.Conn, in *bufio.Reader, _ int) {
		conns.Add(1)
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		writeResponse(c, req.Header.Get(idField), "early")
		<-stop
	})
	p := NewPool(Settings{})
	defer p.Close()
	defer close(stop)
	for i := range 2 {
		req := newRequest(fmt.Sprint(i))
		req.Body = make([]byte, 32<<20) // more than the kernel's buffers hold
		resp, failure := p.Do(context.Background(), addr, req)
		is.True(failure == nil)
		data, err := io.ReadAll(resp)
		is.NoErr(err)
		is.Equal(string(data), "early")
		resp.Close()
		resp.Close() // does nothing
	}
	is.Equal(conns.Load(), int32(2))
}

// If the upstream has closed an idle connection, the request is sent on a new one
// instead.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	addr := startServer(t, func(c net.Conn, in *bufio.Reader, conn int) {
		req, err := readRequest(in)
		if err != nil {
			return
		}
		writeResponse(c, req.Header.Get(idField), "ok")
		if conn == 0 {
			_ = c.Close() // while it is idle at the client
			close(closed)
		}
	})
	p := NewPool(Settings{})
	defer p.Close()
	_, failure := exchangeBody(t, p, addr, "1")
	is.True(failure == nil)
	<-closed
	for deadline := time.Now().Add(10 * time.Second); ; {
		p.mu.Lock()
		c := p.idle[addr][0]
		healthy := c.isHealthy()
		p.mu.Unlock()
		if !healthy || time.Now().After(deadline) {
			break
		}
	}
	_, failure = exchangeBody(t, p, addr, "2")
	is.True(failure == nil)
	is.Equal(p.Opened(), int64(2))
}

// When a request is cancelled, the exchange ends and the upstream's connection is closed.
// Otherwise the upstream works on.
func TestCancellationClosesConnection(t *testing.T) {
	is := is.New(t)
	reading := make(chan struct{})
	gone := make(chan struct{})
	addr := startServer(t, func(c net.Conn, in *bufio.Reader, _ int) {
		if _, err := readRequest(in); err != nil {
			return
		}
		close(reading)
		_, _ = in.ReadByte() // until the client closes
		close(gone)
	})
	p := NewPool(Settings{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-reading
		cancel()
	}()
	_, failure := p.Do(ctx, addr, newRequest("1"))
	is.True(failure != nil)
	is.Equal(failure.Reason, Cancelled)
	is.True(failure.Sent)
	<-gone
}

// A connection is reused only within the idle time-out that its upstream states.
func TestKeepAliveTimeoutOfUpstreamIsHonoured(t *testing.T) {
	is := is.New(t)
	is.Equal(keepAliveTimeout(http.Header{"Keep-Alive": {"max=5, timeout=3"}}), 3*time.Second-keepAliveMargin)
	is.Equal(keepAliveTimeout(http.Header{}), time.Duration(0))
	is.Equal(keepAliveTimeout(http.Header{"Keep-Alive": {"timeout=soon"}}), time.Nanosecond)
	p := NewPool(Settings{MaxIdlePerUpstream: 1})
	a, b := net.Pipe()
	p.release(&conn{Conn: a, addr: "x", in: bufio.NewReader(a)}, time.Second)
	p.release(&conn{Conn: b, addr: "x", in: bufio.NewReader(b)}, time.Second)
	is.Equal(len(p.idle["x"]), 1)
	p.Sweep(time.Now())
	is.Equal(len(p.idle["x"]), 1)
	p.Sweep(time.Now().Add(2 * time.Second))
	is.Equal(len(p.idle["x"]), 0)
}
