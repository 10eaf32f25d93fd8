package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/route"
)

// oldCaller is the connection of a caller that speaks HTTP/1.0: an answer without a length ends with
// it.
type oldCaller struct {
	conn   *net.TCPConn
	in     *bufio.Reader
	server *http.Server
	// answer is the answer that the caller gets.
	answer http.ResponseWriter
}

// newOldCaller sends a request for a service of the node. The request has its answer once the returned
// channel is closed.
func newOldCaller(t *testing.T, n *Node, kind route.Kind) (*oldCaller, <-chan struct{}) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	caller, answered := &oldCaller{}, make(chan struct{})
	caller.server = (&connections{node: n}).server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(answered)
		caller.answer = w
		j := newStreamJob(t, n, w)
		j.r, j.ctx, j.route.Kind, j.route.Resumable = r, r.Context(), kind, false
		j.run()
	}))
	served := make(chan struct{})
	go func() { defer close(served); _ = caller.server.Serve(&idleListener{l, n.idleLimit}) }() // until it is closed
	t.Cleanup(func() { _ = caller.server.Close(); <-served })
	c, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.NoErr(c.SetDeadline(time.Now().Add(time.Minute)))
	_, err = io.WriteString(c, "GET /x HTTP/1.0\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	caller.conn, caller.in = c.(*net.TCPConn), bufio.NewReader(c)
	return caller, answered
}

// Fails if an answer that ends with its connection looks complete although it was broken off, because
// its caller or the server ended the connection.
func TestUnframedAnswerThatIsBrokenOffIsReset(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBytes+1)
	tests := []struct {
		name     string
		kind     route.Kind
		sent     string
		end      func(c *oldCaller)
		complete bool
	}{
		{"stream, whole", route.Stream, streamText(1, 2), nil, true},
		{"stream, the server is closed", route.Stream, streamText(1, 2), func(c *oldCaller) { _ = c.server.Close() }, false},
		{"stream, the caller has sent all", route.Stream, streamText(1, 2), func(c *oldCaller) { _ = c.conn.CloseWrite() }, false},
		{"stream, the caller is slow", route.Stream, streamText(1, 2), func(c *oldCaller) {
			_ = http.NewResponseController(c.answer).SetWriteDeadline(time.Unix(1, 0))
		}, false},
		{"long answer, whole", route.Idempotent, long, nil, true},
		{"long answer, the server is closed", route.Idempotent, long, func(c *oldCaller) { _ = c.server.Close() }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cut := make(chan struct{})
			n := newPipeNode(pipeDialer{"u0": func(c net.Conn) {
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n", test.sent) // the node may have left
				if test.complete {
					return
				}
				<-cut
				_, _ = io.WriteString(c, streamText(3, 3)) // as above
				_, _ = c.Read(make([]byte, 1))             // until the node leaves
			}}, 0)
			caller, answered := newOldCaller(t, n, test.kind)
			resp, err := http.ReadResponse(caller.in, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(resp.ContentLength, int64(-1))
			begun := make([]byte, 16)
			_, err = io.ReadFull(resp.Body, begun)
			is.NoErr(err)
			if !test.complete {
				test.end(caller)
			}
			close(cut)
			rest, err := io.ReadAll(resp.Body)
			is.Equal(err == nil, test.complete)
			if test.complete {
				is.Equal(string(begun)+string(rest), test.sent)
			}
			<-answered
		})
	}
}
