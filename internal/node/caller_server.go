package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/hickorybank/hickorybank/internal/intake"
	"github.com/hickorybank/hickorybank/internal/unframed"
)

// callerServer serves the connections of callers. Its close breaks off no request.
type callerServer struct {
	listener    net.Listener
	connections *connections
	http        http.Server
	accepted    chan struct{} // closed when no further connection will be accepted
}

// newCallerServer returns a server for a listener, with TLS if secure is not nil.
func newCallerServer(l net.Listener, secure *tls.Config) *callerServer {
	return newBoundedCallerServer(l, secure, intake.Settings{})
}

// newBoundedCallerServer is newCallerServer with bounds on what callers take.
func newBoundedCallerServer(l net.Listener, secure *tls.Config, bounds intake.Settings) *callerServer {
	s := &callerServer{connections: newConnections(), accepted: make(chan struct{})}
	intake.BoundUnread(l)
	s.listener = intake.NewListener(withTLS(&callerListener{Listener: l, tracker: s.connections}, secure), bounds)
	s.http = http.Server{
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: s.connections.stateChanged,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return intake.ConnContext(unframed.ConnContext(ctx, c), c)
		},
	}
	return s
}

// serve accepts connections until the listener is closed.
func (s *callerServer) serve(h http.Handler) {
	defer close(s.accepted)
	s.http.Handler = intake.Handler(unframed.Handler(h))
	_ = s.http.Serve(s.listener) // returns when the listener is closed
}

// close closes the listener, waits until all requests are answered and closes the connections.
// Before, the handler must end each answer's connection.
func (s *callerServer) close(ctx context.Context) {
	_ = s.listener.Close() // the operating system refuses new connections from here on
	s.awaitAccepted(ctx)
	s.connections.waitIdle(ctx)
	_ = s.http.Shutdown(ctx) // waits for answers that are still being written
	_ = s.http.Close()
}

// awaitAccepted waits until the server has every connection that was accepted. One that
// it gets after Shutdown is closed without an answer to its request.
func (s *callerServer) awaitAccepted(ctx context.Context) {
	select {
	case <-s.accepted:
	case <-ctx.Done():
	}
}

// withTLS wraps a listener for callers or operators in TLS, unless secure is nil.
func withTLS(l net.Listener, secure *tls.Config) net.Listener {
	if secure == nil {
		return l
	}
	return tls.NewListener(l, secure)
}
