package client

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Fails if an answer without a length that a service breaks off while the call is still being written
// counts as complete.
func TestEarlyAnswerCutDuringCallIsNotComplete(t *testing.T) {
	for _, pause := range []time.Duration{0, 30 * time.Millisecond} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }() // the test ends
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil { // leaves the body unread
						write(c, "HTTP/1.1 200 OK\r\n\r\npart one")
						time.Sleep(pause)
					}
					_ = c.Close() // resets, as bytes are unread
				}
			}()
			s := NewServices(Options{})
			defer s.Close()
			for range 20 {
				answer, err := s.Do(t.Context(), l.Addr().String(), upstream.ServiceCall{Method: http.MethodPost, Path: "/a", Body: make([]byte, 8<<20)})
				if err == nil {
					t.Errorf("complete answer %d, body %q", answer.Status, answer.Body)
				}
			}
		})
	}
}
