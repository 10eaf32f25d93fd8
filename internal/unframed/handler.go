package unframed

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of the caller's connection in the context of a request.
type connKey struct{}

// lingerer is a connection that can be reset.
type lingerer interface {
	// SetLinger sets how long Close waits for unsent bytes, in seconds; with 0 it resets the
	// connection, -1 is the default.
	SetLinger(sec int) error
}

// ConnContext is the ConnContext of a server with a [Handler]. Connections without SetLinger,
// such as those with TLS, are not reset.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler returns a handler that calls next. The end of the connection would look like the end of the
// answer to a caller whose protocol has no chunks. Until next has returned, any close of such a
// caller's connection resets it, also one by the server or by the end of the process.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(lingerer)
		if !ok || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		_ = c.SetLinger(0) // the connection may have ended
		next.ServeHTTP(w, r)
		if http.NewResponseController(w).Flush() == nil {
			_ = c.SetLinger(-1) // as above
		}
	})
}
