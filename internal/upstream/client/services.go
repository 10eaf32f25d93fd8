package client

import (
	"context"
	"net/http"
	"net/url"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Services implements [upstream.Services] over HTTP. It is safe for concurrent use.
type Services struct{ transport *http.Transport }

var _ upstream.Services = (*Services)(nil)

// NewServices returns a Services with its own connection pool.
func NewServices(o Options) *Services {
	transport, _ := newTransport(o.withDefaults())
	return &Services{transport: transport}
}

// Close closes the idle connections.
func (s *Services) Close() { s.transport.CloseIdleConnections() }

// Do implements [upstream.Services]. It sends the call once and returns the complete
// response, whatever its status. If the service declines the call, Do returns an error.
func (s *Services) Do(ctx context.Context, addr string, call upstream.ServiceCall) (upstream.ServiceAnswer, error) {
	target := url.URL{Path: call.Path, RawQuery: call.RawQuery}
	req, err := newRequest(ctx, call.Method, addr, target, call.Body)
	if err != nil {
		return upstream.ServiceAnswer{}, err
	}
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	res, err := roundTrip(s.transport, req)
	if err != nil {
		return upstream.ServiceAnswer{}, err
	}
	if declined(res) {
		return upstream.ServiceAnswer{}, statusError(addr, res, nil)
	}
	body, err := readBody(addr, res)
	if err != nil {
		return upstream.ServiceAnswer{}, err
	}
	return upstream.ServiceAnswer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}
