package client

import (
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// sendTracker tracks the connection that the transport uses for one request.
type sendTracker struct {
	// maySend is called before the request is written, if it is set.
	maySend func() error
	// header is the request's. bodyless is set for HEAD requests.
	header   http.Header
	bodyless bool

	mu           sync.Mutex
	conn         *sealableConn
	writesBefore uint64
	// uncertain is set if the transport used a second connection, or one that does not
	// count writes.
	uncertain bool
	// writeErr is the result of the write once writeEnded is set; written is closed then.
	writeErr   error
	writeEnded bool
	written    chan struct{}
}

// trace returns a trace that reports the connections of the request.
func (s *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: s.gotConn, WroteRequest: s.wroteRequest}
}

// wroteRequest records that the request has been written, or why not.
func (s *sendTracker) wroteRequest(info httptrace.WroteRequestInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeEnded {
		s.uncertain = true
		return
	}
	s.writeErr, s.writeEnded = info.Err, true
	close(s.written)
}

// isWritten reports whether the whole request has been written. It ends a write in progress.
func (s *sendTracker) isWritten() bool {
	_ = s.usedConn().SetWriteDeadline(time.Unix(1, 0)) // the connection may be closed
	<-s.written
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeErr == nil
}

// gotConn records that the request is about to use a connection.
func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := info.Conn.(*sealableConn)
	if !ok || s.conn != nil {
		s.uncertain = true
		return
	}
	s.conn = c
	s.writesBefore = c.writesStarted()
	c.checkNextWrite(s.maySend)
	c.checked.Begin(s.bodyless)
	if c.relayed {
		// Otherwise the transport keeps the connection once it has read the body, and the next request
		// may get it before relayedBody closes it.
		s.header.Set("Connection", "close")
	}
}

// usedConn returns the connection of the request; nil if it got none.
func (s *sendTracker) usedConn() *sealableConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn
}

// reach returns how far the failed request got. It was not sent if it got no connection,
// or if nothing was written to its connection. reach seals and closes the connection, so
// that nothing is written later.
func (s *sendTracker) reach() upstream.Reach {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.uncertain {
		return upstream.MaybeRun
	}
	if s.conn == nil {
		return upstream.NotSent
	}
	unwritten := s.conn.seal(s.writesBefore)
	_ = s.conn.Close()
	if unwritten {
		return upstream.NotSent
	}
	return upstream.MaybeRun
}
