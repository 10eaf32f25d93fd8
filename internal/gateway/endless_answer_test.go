package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/route"
)

// writeEndlessly writes a start and then repeats a part until the connection is closed.
func writeEndlessly(c net.Conn, start, part string) {
	_, err := c.Write([]byte(start))
	for err == nil {
		_, err = c.Write([]byte(part))
	}
}

// Fails if a head without end keeps a request from another upstream, or if a request that may run
// once is sent again.
func TestEndlessHeadGoesElsewhere(t *testing.T) {
	for _, test := range []struct {
		name     string
		kind     route.Kind
		status   int
		attempts int
	}{
		{"may run again", route.Idempotent, http.StatusOK, 2},
		{"may run once", route.Once, http.StatusBadGateway, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			n := newPipeNode(pipeDialer{
				"u0": func(c net.Conn) { writeEndlessly(c, "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n") },
				"u1": func(c net.Conn) { reply(c, http.StatusOK, "whole") },
			}, 100)
			w, j := call(n, test.kind)
			is.Equal(w.Code, test.status)
			is.Equal(j.attemptsReached, test.attempts)
			is.Equal(n.metrics.Counter("hickorybank_endless_answers_total", "service", "s").Get(), uint64(1))
		})
	}
}

const (
	streamHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	wholeEvent = "id: 1\ndata: whole\n\n"
)

// chunk returns one chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Fails if a stream whose next event never ends, or trickles in for ever, keeps its caller from
// another upstream, or if its request is taken for one that crashes upstreams.
func TestEndlessEventGoesElsewhere(t *testing.T) {
	for name, part := range map[string]string{
		"line": strings.Repeat("x", 4096), "blank lines": strings.Repeat("\n", 4096), "lines": strings.Repeat("data: x\n", 512),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newPipeNode(pipeDialer{
				"u0": func(c net.Conn) { writeEndlessly(c, streamHead, chunk(part)) },
				"u1": func(c net.Conn) { writeEndlessly(c, streamHead+chunk(wholeEvent)+"0\r\n\r\n", "") },
			}, 100)
			w := httptest.NewRecorder()
			j := newStreamJob(t, n, w)
			j.run()
			is.Equal(w.Body.String(), wholeEvent) // and nothing of the other upstream
			is.Equal(j.crashes, 0)
			is.Equal(n.metrics.Counter("hickorybank_endless_answers_total", "service", "s").Get(), uint64(1))
		})
	}
}

// Fails if bytes that trickle in without an event count as progress of a stream.
func TestTricklingEventGoesElsewhere(t *testing.T) {
	is := is.New(t)
	n := newPipeNode(pipeDialer{
		"u0": func(c net.Conn) {
			_, err := c.Write([]byte(streamHead + chunk("id: 0\n\n")))
			for err == nil {
				time.Sleep(time.Millisecond)
				_, err = c.Write([]byte(chunk("x")))
			}
		},
		"u1": func(c net.Conn) { writeEndlessly(c, streamHead+chunk(wholeEvent)+"0\r\n\r\n", "") },
	}, 100)
	w := httptest.NewRecorder()
	newStreamJob(t, n, w).run()
	is.True(strings.HasSuffix(w.Body.String(), wholeEvent))
}

// Fails if a stream or a body that never ends is passed on until the caller's deadline.
func TestAnswerWithoutEndIsBrokenOff(t *testing.T) {
	for _, test := range []struct {
		name, start, part string
		kind              route.Kind
		attempts          int
	}{
		{"events", streamHead, chunk(strings.Repeat("data: x\n\n", 64)), route.Stream, 3},
		{"events with one ID", streamHead, chunk(strings.Repeat("id: 1\n\n", 64)), route.Stream, 1},
		{"body", streamHead, chunk(strings.Repeat("x", 64<<10)), route.Once, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			n := newPipeNode(pipeDialer{"u0": func(c net.Conn) { writeEndlessly(c, test.start, test.part) }}, 100)
			j := newStreamJob(t, n, discardWriter{http.Header{}})
			j.route.Kind, j.route.MaxAttempts, j.headers.TokensOut = test.kind, test.attempts, 80
			func() {
				defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
				j.run()
			}()
			is.Equal(j.outcome, "broken_off")
			is.True(time.Now().Before(j.deadline))
		})
	}
}

// discardWriter discards an answer.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header       { return w.header }
func (discardWriter) WriteHeader(int)             {}
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) Flush()                      {}
