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

func say(text string) reply {
	return func(_ int, conn net.Conn) bool {
		_, _ = io.WriteString(conn, text)
		drain(conn)
		return false
	}
}

// drain reads what the client has not yet been heard saying. A connection that
// is closed over unread bytes is reset, and the reset may overtake the answer.
func drain(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, conn)
}

// hold keeps the connection and never answers.
func hold(int, net.Conn) bool { return true }

const (
	applied      = "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n" + `{"applied":true,"version":3}`
	cutShort     = "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n" + `{"applied":tr`
	notJSON      = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
	limited      = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 48\r\n\r\n" + `{"refused":"rate_limited","retry_after_ms":1500}`
	unavailable  = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 25\r\n\r\n" + `{"refused":"unavailable"}`
	foreign503   = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy"
	foreign429   = "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 2\r\n\r\n{}"
	cutRefusal   = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 25\r\n\r\n" + `{"refused"`
	redirect     = "HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"
	notHTTP      = "220 mail.example ESMTP\r\n"
	errorWithout = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
)

func TestClassification(t *testing.T) {
	refused, unknown := platform.ErrRefused, platform.ErrUnknown
	for _, c := range []struct {
		name   string
		answer reply
		write  error
		read   error
	}{
		{"whole answer", say(applied), nil, nil},
		{"closed without an answer", say(""), unknown, refused},
		{"answer cut short", say(cutShort), unknown, refused},
		{"answer not understood", say(notJSON), unknown, refused},
		{"rate limited", say(limited), refused, refused},
		{"unavailable", say(unavailable), refused, refused},
		{"503 from something between", say(foreign503), unknown, refused},
		{"429 from something between", say(foreign429), unknown, refused},
		{"refusal cut short", say(cutRefusal), unknown, refused},
		{"sent elsewhere", say(redirect), unknown, refused},
		{"not HTTP", say(notHTTP), unknown, refused},
		{"500 without a body", say(errorWithout), unknown, refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPeer(t, c.answer)
			client := New(p.url())
			defer client.Close()
			_, err := client.Commit(t.Context(), platform.Txn{})
			expect(t, err, c.write)
			is.Equal(p.seen(), 1)
			_, err = client.Get(t.Context(), "a")
			expect(t, err, c.read)
		})
	}
}

// expect demands the one kind of error, and never both.
func expect(t *testing.T, err, want error) {
	t.Helper()
	is := is.NewRelaxed(t)
	if want == nil {
		is.NoErr(err)
		return
	}
	is.Equal(errors.Is(err, platform.ErrRefused), want == platform.ErrRefused)
	is.Equal(errors.Is(err, platform.ErrUnknown), want == platform.ErrUnknown)
}

func TestRefusalSaysWhen(t *testing.T) {
	is := is.New(t)
	client := New(newPeer(t, say(limited)).url())
	defer client.Close()
	_, err := client.Commit(t.Context(), platform.Txn{})
	var refusal *Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.RetryAfter(), 1500*time.Millisecond)
}

func TestNobodyListens(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, hold)
	p.Close()
	client := New(p.url())
	defer client.Close()
	_, err := client.Commit(t.Context(), platform.Txn{})
	expect(t, err, platform.ErrRefused)
	err = client.Objects().Put(t.Context(), "o", nil)
	expect(t, err, platform.ErrRefused)
	is.Equal(p.seen(), 0)
}

// A caller gives up before its write is on its way. It must hear "refused",
// or it would go and look for a write that was never sent.
func TestGivenUpBeforeSending(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, say(applied))
	client := New(p.url())
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := client.Commit(ctx, platform.Txn{})
	expect(t, err, platform.ErrRefused)
	is.True(errors.Is(err, context.Canceled))
	is.Equal(p.seen(), 0)
}

// A caller gives up after the platform has its write and before the answer.
func TestGivenUpAfterSending(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{}, 2)
	client := New(newPeer(t, func(int, net.Conn) bool {
		arrived <- struct{}{}
		return true
	}).url())
	defer client.Close()
	var helpers conc.WaitGroup
	defer helpers.Wait()
	giveUp := func() context.Context {
		ctx, cancel := context.WithCancel(t.Context())
		helpers.Go(func() {
			<-arrived
			cancel()
		})
		return ctx
	}
	_, err := client.Commit(giveUp(), platform.Txn{})
	is.True(errors.Is(err, context.Canceled))
	expect(t, err, platform.ErrUnknown)
	_, err = client.Get(giveUp(), "a")
	is.True(errors.Is(err, context.Canceled))
	expect(t, err, platform.ErrRefused)
}

func TestTimeoutIsTold(t *testing.T) {
	is := is.New(t)
	client := New(newPeer(t, hold).url(), WithTimeout(50*time.Millisecond))
	defer client.Close()
	_, err := client.Commit(t.Context(), platform.Txn{})
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// Two keys that differ only in bytes that JSON cannot carry would arrive as
// one key, and two callers would share a claim.
func TestKeysThatCannotBeCarried(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, say(applied))
	client := New(p.url())
	defer client.Close()
	bad := "k\xff"
	_, err := client.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: bad}}})
	expect(t, err, platform.ErrRefused)
	_, err = client.Commit(t.Context(), platform.Txn{Conditions: []platform.Condition{{Key: bad}}})
	expect(t, err, platform.ErrRefused)
	_, err = client.Get(t.Context(), bad)
	expect(t, err, platform.ErrRefused)
	_, err = client.Scan(t.Context(), bad, "", 1)
	expect(t, err, platform.ErrRefused)
	is.Equal(p.seen(), 0)
}
