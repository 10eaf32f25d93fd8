package exchange

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Response is an upstream's response with its body still to be read. It must be closed;
// a second Close does nothing.
type Response struct {
	Status int
	Header http.Header
	// Length is the Content-Length in bytes, or -1 if it is not stated.
	Length int64
	// Unframed is set if the body ends with the connection. If the upstream broke off and its
	// system closed the connection, the body still looks complete. It does not if the request has
	// not been written whole by then.
	Unframed bool
	// HeadReadAt is the time when the head of the response was read.
	HeadReadAt time.Time
	// Reused reports whether the exchange used an idle connection of the pool.
	Reused bool

	body        io.Reader
	complete    bool
	conn        *conn
	pool        *Pool
	writeResult <-chan error
	// writeErr is the result of the write once writeEnded is set.
	writeErr   error
	writeEnded bool
	stop       func() bool
	closeAfter bool
	closed     bool
}

// Read reads the body. It returns io.EOF only at the end of a complete body; a truncated
// body ends in another error.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF && r.Unframed && !r.requestWritten() {
		err = errUnwritten
	}
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

var errUnwritten = fmt.Errorf("response without a length ended before its request was written: %w", io.ErrUnexpectedEOF)

// requestWritten reports whether the whole request has been written without an error. It ends a write in
// progress. The error of a connection is reported once: if the write takes it, Read sees a plain end.
func (r *Response) requestWritten() bool {
	if !r.writeEnded {
		_ = r.conn.SetWriteDeadline(time.Unix(1, 0)) // the connection may be closed
		r.writeErr, r.writeEnded = <-r.writeResult, true
	}
	return r.writeErr == nil
}

// Close ends the exchange. The connection returns to the pool only when the body was
// read to its end and the framing is not in doubt. Otherwise it is closed, so that
// the upstream can stop its work.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	r.pool.end(r.conn)
	notCancelled := r.stop()
	// The read deadline of this response must not apply to the next one.
	deadlineCleared := r.conn.SetReadDeadline(time.Time{}) == nil
	if !notCancelled || !deadlineCleared || !r.reusable() {
		_ = r.conn.Close() // the response is complete or abandoned
		return
	}
	r.pool.release(r.conn, keepAliveTimeout(r.Header))
}

// Abort closes the connection of a response that is still being read. Unlike Close it may be called
// beside Read, which it ends; Close must still be called.
func (r *Response) Abort() { _ = r.conn.Close() } // Read returns the error

// OnLinkLost replaces [Request.LinkLost] for the rest of the exchange.
func (r *Response) OnLinkLost(f func() bool) { r.conn.linkLost.Store(&f) }

// LinkLost reports whether the exchange was ended because the link to the upstream is lost.
func (r *Response) LinkLost() bool { return r.conn.aborted.Load() }

// Relayed reports whether the exchange passed through a peer.
func (r *Response) Relayed() bool { return r.conn.relayed }

// reusable reports whether the connection may carry another request.
func (r *Response) reusable() bool {
	if !r.complete || r.closeAfter || r.conn.in.Buffered() > 0 {
		return false
	}
	select {
	case err := <-r.writeResult:
		// If the response precedes the end of the request's body, the rest of that
		// body would precede the next request on the connection.
		return err == nil
	default:
		return false
	}
}

// keepAliveTimeout returns how long to keep an idle connection by the upstream's Keep-Alive
// header, less a margin; 0 if it states no timeout.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds <= 0 {
			return time.Nanosecond
		}
		return time.Duration(seconds)*time.Second - keepAliveMargin
	}
	return 0
}
