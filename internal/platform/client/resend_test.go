package client

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
)

const emptyObject = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

// respondToFirst responds to the first request and keeps the connection open. For every
// later request it closes the connection without a response.
func respondToFirst(n int, conn net.Conn) bool {
	if n > 1 {
		return false
	}
	_, err := io.WriteString(conn, emptyObject)
	return err == nil
}

// A commit is sent on a reused connection, and the connection breaks after the platform
// received the commit and before the response. net/http assumes that the server closed
// the idle connection, and resends the request if it can. The resent commit would then
// fail with a conflict with its own row.
func TestCommitIsNotResent(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, respondToFirst)
	client := New(p.url())
	defer client.Close()
	_, err := client.Commit(t.Context(), platform.Txn{})
	is.NoErr(err)
	_, err = client.Commit(t.Context(), platform.Txn{})
	is.True(errors.Is(err, platform.ErrUnknown))
	is.Equal(p.requestCount(), 2)
}

// If the platform closes an idle connection while a read is sent on it, net/http must
// resend the read on another connection. Otherwise the read fails.
func TestReadIsResent(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, func(n int, conn net.Conn) bool {
		if n == 2 {
			return false
		}
		_, err := io.WriteString(conn, emptyObject)
		return err == nil
	})
	client := New(p.url())
	defer client.Close()
	for range 2 {
		_, err := client.Get(t.Context(), "a")
		is.NoErr(err)
	}
	is.Equal(p.requestCount(), 3)
}

// Fails if a read fails because its answer breaks off while the platform is available.
func TestReadWithBrokenAnswerIsResent(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, func(n int, conn net.Conn) bool {
		answer := emptyObject
		if n == 1 {
			answer = answer[:len(answer)-1]
		}
		_, err := io.WriteString(conn, answer)
		return err == nil && n != 1
	})
	client := New(p.url())
	defer client.Close()
	_, err := client.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(p.requestCount(), 2)
}

// Fails if a commit is sent again because its answer broke off: it may have been applied.
func TestCommitWithBrokenAnswerIsNotResent(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, func(_ int, conn net.Conn) bool {
		_, _ = io.WriteString(conn, emptyObject[:len(emptyObject)-1])
		return false
	})
	client := New(p.url())
	defer client.Close()
	_, err := client.Commit(t.Context(), platform.Txn{})
	is.True(errors.Is(err, platform.ErrUnknown))
	is.Equal(p.requestCount(), 1)
}

// As for a commit, a Put of an object is sent only once.
func TestPutIsNotResent(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, respondToFirst)
	client := New(p.url())
	defer client.Close()
	is.NoErr(client.Objects().Put(t.Context(), "o", nil))
	err := client.Objects().Put(t.Context(), "o", nil)
	is.True(errors.Is(err, platform.ErrUnknown))
	is.Equal(p.requestCount(), 2)
}

// The tests of writes are meaningful only if the transport resends what it may resend.
// Here it resends a request without a body.
func TestTransportResendsRequestWithoutBody(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, respondToFirst)
	client := New(p.url())
	defer client.Close()
	for range 2 {
		resp, err := client.http.Get(p.url())
		discard(is, resp, err)
	}
	is.Equal(p.requestCount(), 3)
}

// net/http treats a POST with an Idempotency-Key header as replayable, and would resend a
// write whose request has one. It cannot resend a body that it cannot rewind.
func TestWriteWithIdempotencyKeyIsNotResent(t *testing.T) {
	is := is.New(t)
	p := newFakePlatform(t, respondToFirst)
	client := New(p.url())
	defer client.Close()
	for range 2 {
		op := operation{method: http.MethodPost, path: "/table/commit", body: []byte("{}"), mutates: true}
		req, err := client.request(t.Context(), op)
		is.NoErr(err)
		is.True(req.GetBody == nil)
		req.Header.Set("Idempotency-Key", "k")
		resp, err := client.http.Do(req)
		discard(is, resp, err)
	}
	is.Equal(p.requestCount(), 2)
}

// discard reads and closes the body of a response, if there is one.
func discard(is *is.I, resp *http.Response, err error) {
	is.Helper()
	if err != nil {
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
}
