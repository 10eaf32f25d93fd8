package client

import (
	"context"
	"net/http"
	"net/url"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Services reaches plain services over HTTP.
type Services struct{ transport *http.Transport }

var _ upstream.Services = (*Services)(nil)

// NewServices returns a client with its own pool of connections.
func NewServices(o Options) *Services {
	return &Services{transport: newTransport(o.withDefaults())}
}

// Close drops idle connections.
func (s *Services) Close() { s.transport.CloseIdleConnections() }

// Do sends the call once and returns the whole answer, whatever its status,
// unless the service says that it did not run the call. The call's path is
// the decoded one.
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
	res, err := trip(s.transport, req)
	if err != nil {
		return upstream.ServiceAnswer{}, err
	}
	if declined(res) {
		return upstream.ServiceAnswer{}, statusFailure(addr, res, nil)
	}
	body, err := readWhole(addr, res)
	if err != nil {
		return upstream.ServiceAnswer{}, err
	}
	return upstream.ServiceAnswer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}
