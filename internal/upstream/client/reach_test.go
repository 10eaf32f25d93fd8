package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

func reachOf(t *testing.T, err error) upstream.Reach {
	t.Helper()
	var e *upstream.Error
	if !errors.As(err, &e) {
		t.Fatalf("error is no *upstream.Error: %v", err)
	}
	return e.Reach
}

// A call that the router sent once must not run twice. The call uses an idle connection,
// and the service runs it and crashes before it responds. net/http would then resend a
// GET, or any call with an Idempotency-Key, on a new connection.
func TestCallIsNotResentIfReusedConnectionBreaks(t *testing.T) {
	calls := []upstream.ServiceCall{
		{Method: http.MethodPost, Path: "/charges", Key: "k", Body: []byte("body")},
		{Method: http.MethodPost, Path: "/charges", Key: "k"},
		{Method: http.MethodGet, Path: "/receipts/1", Key: "k"},
		{Method: http.MethodDelete, Path: "/receipts/1", Key: "k"},
	}
	for _, call := range calls {
		t.Run(fmt.Sprintf("%s with %d bytes", call.Method, len(call.Body)), func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, func(c net.Conn, key string, _ int) bool {
				return key != "k" && write(c, okAnswer)
			})
			client := NewServices(Options{})
			defer client.Close()
			_, err := client.Do(context.Background(), s.Addr(), upstream.ServiceCall{Method: http.MethodGet, Path: "/", Key: "first"})
			is.NoErr(err)
			_, err = client.Do(context.Background(), s.Addr(), call)
			is.Equal(reachOf(t, err), upstream.MaybeRun)
			is.Equal(s.countReceived("k"), 1)
			is.Equal(s.Conns(), 1) // the second call used the idle connection
		})
	}
}

// Calls are sent while the service closes idle connections, so that some use a connection
// that is just closing. Whatever the race, a call that the service received must not be
// reported as NotSent, and none may be received twice.
func TestCallsRaceWithClosingIdleConnections(t *testing.T) {
	is := is.New(t)
	s := newRawServer(t, func(c net.Conn, _ string, nth int) bool {
		return write(c, okAnswer) && nth%2 == 0
	})
	client := NewServices(Options{})
	defer client.Close()
	var ok, notSent, maybeRun int
	for i := range 2000 {
		key := fmt.Sprint("k", i)
		_, err := client.Do(context.Background(), s.Addr(), upstream.ServiceCall{Method: http.MethodPost, Path: "/", Key: key, Body: []byte("x")})
		seen := s.countReceived(key)
		is.True(seen <= 1)
		switch {
		case err == nil:
			ok++
			is.Equal(seen, 1)
		case reachOf(t, err) == upstream.NotSent:
			notSent++
			is.Equal(seen, 0)
		default:
			maybeRun++
		}
	}
	t.Logf("ok %d, not sent %d, maybe run %d", ok, notSent, maybeRun)
}

// If no byte was sent because nothing listens, the context was cancelled or the request
// is invalid, the request must not be reported as possibly run.
func TestNoConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	engines := NewEngines(Options{})
	services := NewServices(Options{})
	_, err = engines.Start(context.Background(), addr, upstream.Attempt{ID: "a", Body: []byte("{}")})
	is.Equal(reachOf(t, err), upstream.NotSent)
	_, err = services.Do(context.Background(), addr, upstream.ServiceCall{Method: http.MethodPost, Path: "/"})
	is.Equal(reachOf(t, err), upstream.NotSent)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = services.Do(cancelled, addr, upstream.ServiceCall{Method: http.MethodPost, Path: "/"})
	is.Equal(reachOf(t, err), upstream.NotSent)
	_, err = services.Do(context.Background(), addr, upstream.ServiceCall{Method: "BAD METHOD", Path: "/"})
	is.Equal(reachOf(t, err), upstream.NotSent)
}

// A call that the service received must not be reported as not run, whether the response
// times out or the context is cancelled.
func TestReceivedCallIsMaybeRun(t *testing.T) {
	is := is.New(t)
	silent := newRawServer(t, func(c net.Conn, _ string, _ int) bool {
		_, _ = c.Read(make([]byte, 1)) // blocks until the client closes the connection
		return false
	})
	shortTimeout := NewServices(Options{HeaderTimeout: 20 * time.Millisecond})
	defer shortTimeout.Close()
	_, err := shortTimeout.Do(context.Background(), silent.Addr(), upstream.ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte("x")})
	is.Equal(reachOf(t, err), upstream.MaybeRun)
	ctx, cancel := context.WithCancel(context.Background())
	breaking := newRawServer(t, func(_ net.Conn, _ string, _ int) bool {
		cancel()
		return false
	})
	client := NewServices(Options{})
	defer client.Close()
	_, err = client.Do(ctx, breaking.Addr(), upstream.ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte("x")})
	is.Equal(reachOf(t, err), upstream.MaybeRun)
}

// If the service crashes while it responds, the truncated response must be reported as an
// error. Otherwise it passes as complete.
func TestTruncatedResponseIsAnError(t *testing.T) {
	is := is.New(t)
	s := newRawServer(t, func(c net.Conn, _ string, _ int) bool {
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nonly")
		return false
	})
	client := NewServices(Options{})
	defer client.Close()
	_, err := client.Do(context.Background(), s.Addr(), upstream.ServiceCall{Method: http.MethodGet, Path: "/"})
	is.Equal(reachOf(t, err), upstream.MaybeRun)
}

// A request must not be reported as not run because of the status alone, or because of
// the header with a status by which no upstream rejects requests.
func TestDeclinedNeedsStatusAndHeader(t *testing.T) {
	cases := []struct {
		status string
		notRun bool
		want   upstream.Reach
		cause  error
	}{
		{"429 Too Many Requests", true, upstream.Declined, nil},
		{"429 Too Many Requests", false, upstream.MaybeRun, nil},
		{"503 Service Unavailable", true, upstream.Declined, nil},
		{"503 Service Unavailable", false, upstream.MaybeRun, nil},
		{"404 Not Found", true, upstream.Declined, upstream.ErrUnknownVersion},
		{"404 Not Found", false, upstream.MaybeRun, upstream.ErrUnknownVersion},
		{"500 Internal Server Error", true, upstream.MaybeRun, nil},
		{"502 Bad Gateway", false, upstream.MaybeRun, nil},
		{"302 Found", false, upstream.MaybeRun, nil},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s %v", c.status, c.notRun), func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, func(conn net.Conn, _ string, _ int) bool {
				head := "HTTP/1.1 " + c.status + "\r\nContent-Length: 3\r\n"
				if c.notRun {
					head += "X-Not-Run: 1\r\n"
				}
				return write(conn, head+"\r\nwhy")
			})
			client := NewEngines(Options{})
			defer client.Close()
			_, err := client.Start(context.Background(), s.Addr(), upstream.Attempt{ID: "a", Body: []byte("{}")})
			is.Equal(reachOf(t, err), c.want)
			if c.cause != nil {
				is.True(errors.Is(err, c.cause))
			}
			var status *StatusError
			is.True(errors.As(err, &status))
			is.Equal(status.Reason, "why")
		})
	}
}
