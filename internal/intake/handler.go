package intake

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of the client's connection in the context of a request.
type connKey struct{}

// ConnContext is the ConnContext of a server with a [Handler].
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	for {
		if own, ok := c.(*Conn); ok {
			return context.WithValue(ctx, connKey{}, own)
		}
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return ctx
		}
		c = wrapped.NetConn()
	}
}

func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Handler returns a handler that follows the requests of a [Listener]'s connections and calls next.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil || c.listener.settings.Account == nil {
			next.ServeHTTP(w, r)
			return
		}
		if len(r.TransferEncoding) > 0 {
			// What follows a body without a length is never read as a request: it would not be counted.
			w.Header().Set("Connection", "close")
		}
		if !c.beginRequest(r) {
			panic(http.ErrAbortHandler) // the connection is closed
		}
		defer c.endRequest()
		defer c.boundRest() // net/http reads it after a panic, too
		next.ServeHTTP(w, r)
	})
}

// HoldingOf returns the holding of the request of a context, or a new one of the account without a
// connection.
func HoldingOf(ctx context.Context, a *Account) *Holding {
	c := connOf(ctx)
	if c == nil {
		return a.Hold()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		return a.Hold()
	}
	return c.held
}

// Complete records that the whole request of a context has been received. It returns false if the request
// has been evicted meanwhile.
func Complete(ctx context.Context) bool {
	c := connOf(ctx)
	return c == nil || c.complete()
}
