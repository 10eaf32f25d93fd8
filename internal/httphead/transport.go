package httphead

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport checks the responses of a transport of net/http without TLS.
type Transport struct{ transport *http.Transport }

// NewTransport returns a checking transport. It changes how the given one dials; nothing else may use
// that from then on.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{t}
}

// RoundTrip implements [http.RoundTripper].
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.Begin(req.Method == http.MethodHead)
		}
	}}
	return t.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }
