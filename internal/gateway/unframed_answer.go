package gateway

import (
	"context"
	"net"
	"net/http"
)

// callerConnKey is the key of the caller's connection in the context of a request.
type callerConnKey struct{}

// withCallerConn adds the caller's connection to the context of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// beginUnframed precedes an answer without a length. If the caller's protocol has no chunks, the end
// of the connection would look like the end of the answer: until endUnframed, any close of the
// connection resets it, also one by the server or by the end of the process.
func (j *job) beginUnframed() { j.setLinger(0) }

// endUnframed follows the last byte of an answer without a length.
func (j *job) endUnframed() {
	if j.r.ProtoAtLeast(1, 1) || http.NewResponseController(j.w).Flush() != nil {
		return
	}
	j.setLinger(-1)
}

// setLinger sets how long a close waits for unsent bytes, in seconds, on the connection of a caller
// whose protocol has no chunks; 0 resets the connection, -1 is the default.
func (j *job) setLinger(sec int) {
	c, ok := j.r.Context().Value(callerConnKey{}).(interface{ SetLinger(sec int) error })
	if ok && !j.r.ProtoAtLeast(1, 1) {
		_ = c.SetLinger(sec) // the connection may have ended
	}
}
