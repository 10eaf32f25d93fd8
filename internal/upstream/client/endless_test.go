package client

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// endlessReader repeats a text for ever and counts what was read.
type endlessReader struct {
	text string
	read int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	n := copy(p, r.text)
	r.read += n
	if r.read > 64<<20 {
		return n, errors.New("64 MB were read")
	}
	return n, nil
}

// Fails if an event without end fills the memory, or comments without end keep a caller waiting.
func TestEndlessEventEndsAtItsBound(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", ": comment\n", "\n", ": comment\n\n"} {
		is := is.New(t)
		r := &endlessReader{text: strings.Repeat(text, 64)}
		_, err := newDecoder(r).next()
		is.True(errors.Is(err, errEventTooLong))
		is.True(r.read <= 2*maxEventBytes)
	}
}

// Fails if an answer's header without end fills the memory until the call's deadline.
func TestEndlessHeaderEndsAtItsBound(t *testing.T) {
	is := is.New(t)
	sent := make(chan int, 1)
	s := newRawServer(t, func(c net.Conn, _ string, _ int) bool {
		n, err := c.Write([]byte("HTTP/1.1 200 OK\r\n"))
		total, field := n, []byte(strings.Repeat("X-Field: value\r\n", 256))
		for err == nil && total < 64<<20 {
			n, err = c.Write(field)
			total += n
		}
		sent <- total
		return false
	})
	client := NewServices(Options{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := client.Do(ctx, s.Addr(), upstream.ServiceCall{Method: http.MethodGet, Path: "/", Key: "k"})
	is.True(err != nil)
	is.Equal(reachOf(t, err), upstream.MaybeRun)
	is.True(<-sent < 64<<20)
	is.NoErr(ctx.Err())
}
