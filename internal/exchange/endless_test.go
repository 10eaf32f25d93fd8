package exchange

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endlessUpstream is a dialer to an upstream that answers each request with a start and then
// repeats a part until the connection is closed.
type endlessUpstream struct {
	start, part string
	// sent is the number of bytes that were read from it, once done is closed.
	sent int
	done chan struct{}
}

func (u *endlessUpstream) Dial(context.Context, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	u.done = make(chan struct{})
	go func() {
		defer close(u.done)
		defer func() { _ = theirs.Close() }() // ends the exchange
		if _, err := http.ReadRequest(bufio.NewReader(theirs)); err != nil {
			return
		}
		part := []byte(strings.Repeat(u.part, 1+4096/len(u.part)))
		n, err := theirs.Write([]byte(u.start))
		for u.sent = n; err == nil && u.sent < 64<<20; u.sent += n {
			n, err = theirs.Write(part)
		}
	}()
	return relayedPipe{ours}, nil
}

// relayedPipe is used for one exchange.
type relayedPipe struct{ net.Conn }

func (relayedPipe) Relayed() bool { return true }

// Fails if bytes without end in place of an answer's head fill the memory until the caller's
// deadline.
func TestEndlessHeadEndsAtItsBound(t *testing.T) {
	for _, test := range []struct{ name, start, part string }{
		{"line", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
		{"status line", "HTTP/1.1 200 ", "O"},
		{"no line", "", "\x00"},
		{"informational answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"trailer", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x"},
		{"chunk's length", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"body of another answer", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("b", 1024) + "\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			u := &endlessUpstream{start: test.start, part: test.part}
			p := NewPool(Settings{Dialer: u})
			defer p.Close()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, failure := p.Do(ctx, "u", &Request{Method: http.MethodGet, Target: "/", Host: "h", IDField: idField, ID: "1"})
			<-u.done
			is.True(failure != nil)
			is.True(failure.Sent)
			is.True(failure.Reason == TooLong || failure.Reason == InvalidResponse)
			is.True(u.sent <= 2*maxStrayBodyBytes)
		})
	}
}

// Fails if any start of an answer that goes on without end is read past the bounds.
func FuzzEndlessAnswer(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nX: ", "x")
	f.Add("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nHTTP\r\n")
	f.Fuzz(func(t *testing.T, start, part string) {
		u := &endlessUpstream{start: start, part: part + "x"}
		p := NewPool(Settings{Dialer: u})
		defer p.Close()
		resp, failure := p.Do(context.Background(), "u", &Request{Method: http.MethodGet, Target: "/", Host: "h", IDField: idField, ID: "1"})
		if failure == nil {
			resp.Close() // its body is the caller's to bound
		}
		if <-u.done; u.sent > 4*maxStrayResponses*maxStrayBodyBytes {
			t.Fatalf("%d bytes were read of %q and %q without end", u.sent, start, part)
		}
	})
}

// Fails if a head within the bound is refused, or the bound cuts off a long body.
func TestLongAnswerPassesTheBoundOnHeads(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("b", 4*maxHeadBytes)
	field := strings.Repeat("v", maxHeadBytes/2)
	addr := startServer(t, func(c net.Conn, in *bufio.Reader, _ int) {
		if _, err := readRequest(in); err != nil {
			return
		}
		var b bytes.Buffer
		b.WriteString("HTTP/1.1 200 OK\r\nX: " + field + "\r\nTransfer-Encoding: chunked\r\n\r\n")
		for range 4 {
			b.WriteString("8000\r\n" + body[:0x8000] + "\r\n")
		}
		b.WriteString("0\r\n\r\n")
		_, _ = c.Write(b.Bytes()) // the reader may have left
	})
	p := NewPool(Settings{})
	defer p.Close()
	resp, failure := p.Do(context.Background(), addr, &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	is.Equal(failure, nil)
	defer resp.Close()
	got, err := io.ReadAll(resp)
	is.NoErr(err)
	is.Equal(len(got), 4*0x8000)
	is.Equal(resp.Header.Get("X"), field)
}
