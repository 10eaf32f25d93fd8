package client

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// sendTracker tracks the connections that net/http uses for one call, and reports
// whether any byte of the call may have been sent.
type sendTracker struct {
	mu           sync.Mutex
	conn         *countingConn
	writesBefore uint64
	maybeWritten bool
}

// trace returns a context with which net/http reports the connections of the call.
func (s *sendTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

// gotConn records that the call is about to use a connection. If bytes may have been
// written to an earlier one, or the connection does not count writes, maybeWritten is
// set.
func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.conn.writes.Load() != s.writesBefore {
		s.maybeWritten = true
	}
	counting, ok := info.Conn.(*countingConn)
	if ok && counting.checked != nil {
		counting.checked.Begin(false) // no call is a HEAD request
	}
	if !ok {
		s.maybeWritten = true
		return
	}
	s.conn = counting
	s.writesBefore = counting.writes.Load()
}

// maybeSent reports whether bytes of the failed call may have been sent. It closes the
// connection first, since net/http may still be about to write. A write that starts
// after the close fails; one that started before it is counted.
func (s *sendTracker) maybeSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return s.maybeWritten
	}
	_ = s.conn.Close()
	return s.maybeWritten || s.conn.writes.Load() != s.writesBefore
}
