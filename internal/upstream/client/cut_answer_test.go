package client

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// cutDialer connects to an upstream that answers with a text and ends its connection, by a close or,
// with reset, by a reset.
type cutDialer struct {
	sent  string
	reset bool
}

func (d cutDialer) Dial(context.Context, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	go func() {
		defer func() { _ = theirs.Close() }()
		if req, err := http.ReadRequest(bufio.NewReader(theirs)); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(theirs, d.sent) // the reader may have left
		}
	}()
	return cutConn{ours, d.reset}, nil
}

type cutConn struct {
	net.Conn
	reset bool
}

func (c cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.reset {
		err = syscall.ECONNRESET
	}
	return n, err
}

// cutForms returns the forms of an answer with a body, and whether they end with the connection.
func cutForms(body string) map[string]bool {
	const ok = "HTTP/1.1 200 OK\r\n"
	half := len(body) / 2
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x;a=b\r\n%s\r\n0\r\n", half, body[:half], len(body)-half, body[half:])
	interim := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	return map[string]bool{
		ok + chunked + "\r\n":                                 false,
		ok + "Trailer: X\r\n" + chunked + "X: y\r\n\r\n":      false,
		ok + length + chunked + "\r\n":                        false,
		ok + length + "\r\n" + body:                           false,
		ok + "Connection: close\r\n" + length + "\r\n" + body: false,
		ok + length + length + "\r\n" + body:                  false,
		ok + length + "Content-Length: 3\r\n\r\n" + body:      false,
		interim + ok + length + "\r\n" + body:                 false,
		"HTTP/1.0 200 OK\r\n" + length + "\r\n" + body:        false,
		ok + "\r\n" + body:                                    true,
		ok + "Connection: close\r\n\r\n" + body:               true,
		interim + ok + "\r\n" + body:                          true,
		"HTTP/1.0 200 OK\r\n\r\n" + body:                      true,
	}
}

// forEachCut calls play for every cut of every form of an answer with a body.
func forEachCut(body string, play func(o Options, sent string, reset, unframed bool)) {
	var plays sync.WaitGroup
	defer plays.Wait()
	for text, unframed := range cutForms(body) {
		for cut := range len(text) + 1 {
			for _, reset := range []bool{false, true} {
				plays.Go(func() { play(Options{Dialer: cutDialer{text[:cut], reset}}, text[:cut], reset, unframed) })
			}
		}
	}
}

// Fails if a stream ends as complete without its last chunk, wherever the engine's answer is cut.
func TestCutStreamNeverLooksComplete(t *testing.T) {
	const body = "id: 1\ndata: {\"attempt\":\"a\",\"seq\":1,\"text\":\"x\"}\n\nid: 2\ndata: {\"attempt\":\"a\",\"seq\":2,\"done\":true}\n\n"
	forEachCut(body, func(o Options, sent string, reset, _ bool) {
		e := NewEngines(o)
		defer e.Close()
		stream, err := e.Start(t.Context(), "engine:1", upstream.Attempt{ID: "a", Body: []byte("{}")})
		if err != nil {
			return
		}
		defer func() { _ = stream.Close() }() // it has been read
		for seq := 1; ; seq++ {
			c, err := stream.Next()
			switch {
			case err == io.EOF && seq == 3:
				return
			case err == io.EOF || err == nil && (c.Seq != seq || c.Done != (seq == 2)):
				t.Errorf("answer cut after %q, reset %t: chunk %+v, %v in place of chunk %d", sent, reset, c, err, seq)
				return
			case err != nil:
				return
			}
		}
	})
}

// Fails if a call gets an answer without its whole body, wherever the service's answer is cut. An
// answer with neither a length nor chunks is whole when its connection is closed.
func TestCutCallNeverLooksComplete(t *testing.T) {
	const body = `{"receipt":"R-1","state":"settled"}`
	forEachCut(body, func(o Options, sent string, reset, unframed bool) {
		s := NewServices(o)
		defer s.Close()
		answer, err := s.Do(t.Context(), "service:1", upstream.ServiceCall{Method: http.MethodGet, Path: "/receipts/1"})
		if err != nil || string(answer.Body) == body {
			return
		}
		if !unframed || reset || !strings.HasPrefix(body, string(answer.Body)) {
			t.Errorf("answer cut after %q, reset %t: %d, body %q", sent, reset, answer.Status, answer.Body)
		}
	})
}
