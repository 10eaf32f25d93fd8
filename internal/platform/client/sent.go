package client

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// sent follows one call through net/http and tells whether any of its bytes
// may have left the process.
type sent struct {
	mu     sync.Mutex
	conn   *conn
	before uint64
	lost   bool
}

// trace returns a context that makes net/http report the call's connection.
func (s *sent) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.got})
}

func (s *sent) got(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.conn.writes.Load() != s.before {
		s.lost = true
	}
	own, ok := info.Conn.(*conn)
	if !ok {
		s.lost = true
		return
	}
	s.conn = own
	s.before = own.writes.Load()
}

// maybe reports whether bytes of the failed call may have left. It closes the
// connection first: net/http's writer may still be about to write, and only on
// a closed connection is "nothing was written" final. A write that begins
// after the close fails; one that began before it is in the count.
func (s *sent) maybe() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return s.lost
	}
	_ = s.conn.Close()
	return s.lost || s.conn.writes.Load() != s.before
}
