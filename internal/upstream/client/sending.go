package client

import (
	"net/http/httptrace"
	"sync"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// sending follows one request to the connection that it was handed to.
type sending struct {
	mu     sync.Mutex
	conn   *conn
	before uint64
	// twice is set when the request was handed to a second connection.
	twice bool
}

func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: s.gotConn}
}

func (s *sending) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok || s.conn != nil {
		s.twice = true
		return
	}
	s.conn = c
	s.before = c.begun()
}

// reach says how far the failed request got. Without a connection it was not
// sent; with one it was not sent only if nothing was written to it, and then
// nothing ever will be.
func (s *sending) reach() upstream.Reach {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.twice {
		return upstream.MaybeRun
	}
	if s.conn == nil {
		return upstream.NotSent
	}
	unwritten := s.conn.sealUnwritten(s.before)
	_ = s.conn.Close()
	if unwritten {
		return upstream.NotSent
	}
	return upstream.MaybeRun
}
