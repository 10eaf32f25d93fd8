package client

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/platform"
)

func respondWith(text string) responder {
	return func(_ int, conn net.Conn) bool {
		_, _ = io.WriteString(conn, text)
		drain(conn)
		return false
	}
}

// drain reads the rest of what the client sends. Closing a connection with unread bytes
// resets it, and the reset may arrive before the response.
func drain(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, conn)
}

// neverRespond keeps the connection open and never responds.
func neverRespond(int, net.Conn) bool { return true }

const (
	applied          = "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n" + `{"applied":true,"version":3}`
	truncated        = "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n" + `{"applied":tr`
	notJSON          = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
	limited          = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 48\r\n\r\n" + `{"refused":"rate_limited","retry_after_ms":1500}`
	unavailable      = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 25\r\n\r\n" + `{"refused":"unavailable"}`
	proxy503         = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy"
	proxy429         = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 2\r\n\r\n{}"
	truncatedRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 25\r\n\r\n" + `{"refused"`
	redirect         = "HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"
	notHTTP          = "220 mail.example ESMTP\r\n"
	empty500         = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
)

// A write that may have taken effect must not be reported as refused, and a read is
// always reported as refused.
func TestErrorKindsOfResponses(t *testing.T) {
	refused, unknown := platform.ErrRefused, platform.ErrUnknown
	for _, c := range []struct {
		name   string
		answer responder
		write  error
		read   error
	}{
		{"complete response", respondWith(applied), nil, nil},
		{"closed without a response", respondWith(""), unknown, refused},
		{"truncated response", respondWith(truncated), unknown, refused},
		{"response is not JSON", respondWith(notJSON), unknown, refused},
		{"rate limited", respondWith(limited), refused, refused},
		{"unavailable", respondWith(unavailable), refused, refused},
		{"503 from a proxy", respondWith(proxy503), unknown, refused},
		{"429 from a proxy", respondWith(proxy429), unknown, refused},
		{"truncated refusal", respondWith(truncatedRefusal), unknown, refused},
		{"redirect", respondWith(redirect), unknown, refused},
		{"not HTTP", respondWith(notHTTP), unknown, refused},
		{"500 without a body", respondWith(empty500), unknown, refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newFakePlatform(t, c.answer)
			client := New(p.url())
			defer client.Close()
			_, err := client.Commit(t.Context(), platform.Txn{})
			expectKind(t, err, c.write)
			is.Equal(p.requestCount(), 1)
			_, err = client.Get(t.Context(), "a")
			expectKind(t, err, c.read)
		})
	}
}

// expectKind checks that err has the wanted kind and not the other one.
func expectKind(t *testing.T, err, want error) {
	t.Helper()
	is := is.NewRelaxed(t)
	if want == nil {
		is.NoErr(err)
		return
	}
	is.Equal(errors.Is(err, platform.ErrRefused), want == platform.ErrRefused)
	is.Equal(errors.Is(err, platform.ErrUnknown), want == platform.ErrUnknown)
}

// A refusal must contain the platform's retry delay.
func TestRefusalContainsRetryDelay(t *testing.T) {
	is := is.New(t)
	client := New(newFakePlatform(t, respondWith(limited)).url())
	defer client.Close()
	_, err := client.Commit(t.Context(), platform.Txn{})
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.RetryAfter(), 1500*time.Millisecond)
}

// If no server listens, a write is certain not to have taken effect. It must be reported
// as refused, not as possibly done.
func TestNoListenerIsRefused(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, neverRespond)
	p.Close()
	client := New(p.url())
	defer client.Close()
	_, err := client.Commit(t.Context(), platform.Txn{})
	expectKind(t, err, platform.ErrRefused)
	err = client.Objects().Put(t.Context(), "o", nil)
	expectKind(t, err, platform.ErrRefused)
	is.Equal(p.requestCount(), 0)
}

// A write whose context was cancelled before it was sent must not be reported as
// ErrUnknown. The caller would search for a write that was never sent.
func TestCancelledBeforeSendingIsRefused(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, respondWith(applied))
	client := New(p.url())
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := client.Commit(ctx, platform.Txn{})
	expectKind(t, err, platform.ErrRefused)
	is.True(errors.Is(err, context.Canceled))
	is.Equal(p.requestCount(), 0)
}

// A write whose context was cancelled after the platform received it and before it
// responded must not be reported as ErrRefused.
func TestCancelledAfterSendingIsUnknown(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{}, 2)
	client := New(newFakePlatform(t, func(int, net.Conn) bool {
		arrived <- struct{}{}
		return true
	}).url())
	defer client.Close()
	var helpers conc.WaitGroup
	defer helpers.Wait()
	cancelOnArrival := func() context.Context {
		ctx, cancel := context.WithCancel(t.Context())
		helpers.Go(func() {
			<-arrived
			cancel()
		})
		return ctx
	}
	_, err := client.Commit(cancelOnArrival(), platform.Txn{})
	is.True(errors.Is(err, context.Canceled))
	expectKind(t, err, platform.ErrUnknown)
	_, err = client.Get(cancelOnArrival(), "a")
	is.True(errors.Is(err, context.Canceled))
	expectKind(t, err, platform.ErrRefused)
}

// The caller must be able to recognise a time-out by its error.
func TestTimeoutIsDeadlineExceeded(t *testing.T) {
	is := is.New(t)
	client := New(newFakePlatform(t, neverRespond).url(), WithTimeout(50*time.Millisecond))
	defer client.Close()
	_, err := client.Commit(t.Context(), platform.Txn{})
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// Keys that are not UTF-8 are refused. If they were sent, two keys that differ only in
// invalid bytes would become the same key, and two callers would share a claim.
func TestInvalidUTF8KeysAreRefused(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, respondWith(applied))
	client := New(p.url())
	defer client.Close()
	bad := "k\xff"
	_, err := client.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: bad}}})
	expectKind(t, err, platform.ErrRefused)
	_, err = client.Commit(t.Context(), platform.Txn{Conditions: []platform.Condition{{Key: bad}}})
	expectKind(t, err, platform.ErrRefused)
	_, err = client.Get(t.Context(), bad)
	expectKind(t, err, platform.ErrRefused)
	_, err = client.Scan(t.Context(), bad, "", 1)
	expectKind(t, err, platform.ErrRefused)
	is.Equal(p.requestCount(), 0)
}
