package exchange

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Response is an upstream's answer. Close it when done with it; a second Close
// does nothing.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 where the answer does not say.
	Length int64
	// At is when the head of the answer was read.
	At time.Time
	// Reused tells whether a kept connection carried it.
	Reused bool

	body    io.Reader
	whole   bool
	conn    *conn
	pool    *Pool
	written <-chan error
	stop    func() bool
	close   bool
	closed  bool
}

// Read reads the body. io.EOF means that the answer is whole; an answer that
// was cut short ends in another error.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept only when the answer was
// whole and nothing about its framing is in doubt; else it is closed, which
// also tells the upstream to stop.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	undisturbed := r.stop()
	// The time limit of this answer's parts must not end the next one.
	lifted := r.conn.SetReadDeadline(time.Time{}) == nil
	if !undisturbed || !lifted || !r.reusable() {
		_ = r.conn.Close() // the answer is whole, or given up
		return
	}
	r.pool.put(r.conn, keepFor(r.Header))
}

func (r *Response) reusable() bool {
	if !r.whole || r.close || r.conn.in.Buffered() > 0 {
		return false
	}
	select {
	case err := <-r.written:
		// An answer that came before the request was written out leaves bytes
		// of this body where the next request would begin.
		return err == nil
	default:
		return false
	}
}

// keepFor reads how long the upstream keeps an idle connection; 0 if it does
// not say.
func keepFor(h http.Header) time.Duration {
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
