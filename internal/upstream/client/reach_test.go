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

// A call runs twice although the router sent it once. A connection that has
// served a call lies idle; the next call goes out on it; the service runs it
// and dies before it answers. net/http then repeats a GET, or any call with an
// Idempotency-Key, on a new connection without a word.
func TestReusedConnectionBreaksAfterTheCall(t *testing.T) {
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
			is.Equal(s.times("k"), 1)
			is.Equal(s.Conns(), 1) // the second call took the idle connection
		})
	}
}

// A call is called "not run" although the service has it. Calls go out while
// the service closes idle connections, so that some meet a connection that is
// just breaking. Whatever the race, a call that the service has seen must not
// be NotSent, and none may be seen twice.
func TestIdleConnectionsCloseUnderCalls(t *testing.T) {
	is := is.New(t)
	s := newRawServer(t, func(c net.Conn, _ string, nth int) bool {
		return write(c, okAnswer) && nth%2 == 0
	})
	client := NewServices(Options{})
	defer client.Close()
	var ok, notSent, maybe int
	for i := range 2000 {
		key := fmt.Sprint("k", i)
		_, err := client.Do(context.Background(), s.Addr(), upstream.ServiceCall{Method: http.MethodPost, Path: "/", Key: key, Body: []byte("x")})
		seen := s.times(key)
		is.True(seen <= 1)
		switch {
		case err == nil:
			ok++
			is.Equal(seen, 1)
		case reachOf(t, err) == upstream.NotSent:
			notSent++
			is.Equal(seen, 0)
		default:
			maybe++
		}
	}
	t.Logf("ok %d, not sent %d, maybe run %d", ok, notSent, maybe)
}

// A request is called "in doubt" although no byte of it has left: the service
// is gone, or the caller gave up while the connection was being made.
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
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = services.Do(gone, addr, upstream.ServiceCall{Method: http.MethodPost, Path: "/"})
	is.Equal(reachOf(t, err), upstream.NotSent)
	_, err = services.Do(context.Background(), addr, upstream.ServiceCall{Method: "BAD METHOD", Path: "/"})
	is.Equal(reachOf(t, err), upstream.NotSent)
}

// A call that the service has read is called "not run" when the caller gives
// up, when the service is silent, or when it breaks in the middle of a body.
func TestAfterTheFirstByteItIsInDoubt(t *testing.T) {
	is := is.New(t)
	silent := newRawServer(t, func(c net.Conn, _ string, _ int) bool {
		_, _ = c.Read(make([]byte, 1)) // until the client closes
		return false
	})
	impatient := NewServices(Options{HeaderTimeout: 20 * time.Millisecond})
	defer impatient.Close()
	_, err := impatient.Do(context.Background(), silent.Addr(), upstream.ServiceCall{Method: http.MethodPost, Path: "/", Body: []byte("x")})
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

// A cut answer passes for a whole one: the service dies while it answers.
func TestCutAnswerIsAnError(t *testing.T) {
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

// A request is called "not run" on the strength of a status alone, or of the
// header on a status by which nobody turns work away.
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
