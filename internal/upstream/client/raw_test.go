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

// rawServer passes each completely received request and its connection to answer. If
// answer returns false, the connection is closed.
type rawServer struct {
	*rawhttp.Server
	answer func(c net.Conn, key string, nth int) bool

	mu           sync.Mutex
	receivedKeys []string
	nth          map[*http.Request]int
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

// Head records that the headers of a request were received.
func (s *rawServer) Head(_ net.Conn, req *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.receivedKeys = append(s.receivedKeys, idempotencyKey(req))
	s.nth[req] = len(s.receivedKeys)
	return true
}

// Answer passes a completely received request to the test.
func (s *rawServer) Answer(c net.Conn, req *http.Request, _ []byte) error {
	s.mu.Lock()
	nth := s.nth[req]
	s.mu.Unlock()
	if !s.answer(c, idempotencyKey(req), nth) {
		return rawhttp.ErrClose
	}
	return nil
}

func idempotencyKey(req *http.Request) string { return req.Header.Get("Idempotency-Key") }

// countReceived returns the number of requests with the key that were received, at least
// in part.
func (s *rawServer) countReceived(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.receivedKeys {
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
