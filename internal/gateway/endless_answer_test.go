package gateway

import (
	"net"
	"net/http"
	"testing"

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
