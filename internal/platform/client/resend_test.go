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

const keptAlive = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

// answerFirst answers the first request and keeps the connection; it takes
// every later one whole and closes the connection without an answer.
func answerFirst(n int, conn net.Conn) bool {
	if n > 1 {
		return false
	}
	_, err := io.WriteString(conn, keptAlive)
	return err == nil
}

// A commit goes out on a connection that had served before; the platform
// takes it, and the connection breaks before the answer. net/http holds such a
// connection for one that the server had closed while idle, and sends what it
// may send again. The commit that took effect would then meet its own row and
// come back as a conflict.
func TestCommitIsNeverSentTwice(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, answerFirst)
	client := New(p.url())
	defer client.Close()
	_, err := client.Commit(t.Context(), platform.Txn{})
	is.NoErr(err)
	_, err = client.Commit(t.Context(), platform.Txn{})
	is.True(errors.Is(err, platform.ErrUnknown))
	is.Equal(p.seen(), 2)
}

// The platform closes a kept connection while a read goes out on it. The read
// failed although the platform was well, now and then in a busy run; it is sent
// again on another connection.
func TestReadIsSentAgain(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, func(n int, conn net.Conn) bool {
		if n == 2 {
			return false
		}
		_, err := io.WriteString(conn, keptAlive)
		return err == nil
	})
	client := New(p.url())
	defer client.Close()
	for range 2 {
		_, err := client.Get(t.Context(), "a")
		is.NoErr(err)
	}
	is.Equal(p.seen(), 3)
}

func TestPutIsNeverSentTwice(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, answerFirst)
	client := New(p.url())
	defer client.Close()
	is.NoErr(client.Objects().Put(t.Context(), "o", nil))
	err := client.Objects().Put(t.Context(), "o", nil)
	is.True(errors.Is(err, platform.ErrUnknown))
	is.Equal(p.seen(), 2)
}

// The two tests above prove something only if the transport does send again
// what it may: here it sends a request with no body a second time.
func TestTransportDoesResend(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, answerFirst)
	client := New(p.url())
	defer client.Close()
	for range 2 {
		resp, err := client.http.Get(p.url())
		discard(is, resp, err)
	}
	is.Equal(p.seen(), 3)
}

// Whatever a caller adds to a write later, such as an Idempotency-Key header,
// which makes net/http hold a POST for replayable: without a body that can be
// rewound it cannot send it again.
func TestWriteBodyCannotBeRewound(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, answerFirst)
	client := New(p.url())
	defer client.Close()
	for range 2 {
		what := call{method: http.MethodPost, path: "/table/commit", body: []byte("{}"), write: true}
		req, err := client.request(t.Context(), what)
		is.NoErr(err)
		is.True(req.GetBody == nil)
		req.Header.Set("Idempotency-Key", "k")
		resp, err := client.http.Do(req)
		discard(is, resp, err)
	}
	is.Equal(p.seen(), 2)
}

// discard reads an answer to its end, if there is one.
func discard(is *is.I, resp *http.Response, err error) {
	is.Helper()
	if err != nil {
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
}
