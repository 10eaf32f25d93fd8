package client

import (
	"context"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

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
// unless the service says that it did not run the call.
func (s *Services) Do(ctx context.Context, addr string, call upstream.ServiceCall) (upstream.ServiceAnswer, error) {
	path := call.Path
	if call.RawQuery != "" {
		path += "?" + call.RawQuery
	}
	req, err := newRequest(ctx, call.Method, addr, path, call.Body)
	if err != nil {
		return upstream.ServiceAnswer{}, fail(addr, upstream.NotSent, eris.Wrap(err, "service"))
	}
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	res, fault := trip(s.transport, req)
	if fault != nil {
		return upstream.ServiceAnswer{}, fault
	}
	if declined(res) {
		return upstream.ServiceAnswer{}, statusFailure(addr, res)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return upstream.ServiceAnswer{}, fail(addr, upstream.MaybeRun, eris.Wrap(err, "service"))
	}
	return upstream.ServiceAnswer{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}
