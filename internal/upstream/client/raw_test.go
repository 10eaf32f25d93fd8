package client

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/hickorybank/hickorybank/internal/rawhttp"
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// rawServer hands each request that it has read in full, with its connection,
// to answer. answer returns false to close the connection.
type rawServer struct {
	*rawhttp.Server
	answer func(c net.Conn, key string, nth int) bool

	mu   sync.Mutex
	seen []string
	nth  map[*http.Request]int
}

func newRawServer(t *testing.T, answer func(c net.Conn, key string, nth int) bool) *rawServer {
	t.Helper()
	s := &rawServer{answer: answer, nth: map[*http.Request]int{}}
	server, err := rawhttp.Listen(s)
	if err != nil {
		t.Fatal(err)
	}
	s.Server = server
	t.Cleanup(s.Close)
	return s
}

// Head records that the header of a request has come.
func (s *rawServer) Head(_ net.Conn, req *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, keyOf(req))
	s.nth[req] = len(s.seen)
	return true
}

// Answer gives a request that came whole to the test.
func (s *rawServer) Answer(c net.Conn, req *http.Request, _ []byte) error {
	s.mu.Lock()
	nth := s.nth[req]
	s.mu.Unlock()
	if !s.answer(c, keyOf(req), nth) {
		return rawhttp.ErrClose
	}
	return nil
}

func keyOf(req *http.Request) string { return req.Header.Get("Idempotency-Key") }

// times counts the requests that have come, in part or whole.
func (s *rawServer) times(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.seen {
		if k == key {
			n++
		}
	}
	return n
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
