package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Engines implements [upstream.Engines] and [upstream.Caches] over HTTP. It is safe for
// concurrent use.
type Engines struct {
	transport *http.Transport
	conns     *openConns
}

var _ upstream.Engines = (*Engines)(nil)

// NewEngines returns an Engines with its own connection pool.
func NewEngines(o Options) *Engines {
	transport, conns := newTransport(o.withDefaults())
	return &Engines{transport, conns}
}

// CloseSilent closes the direct connections to upstreams whose links are lost if no bytes pass on
// them. Attempts on them can be resumed.
func (e *Engines) CloseSilent(isLost func(addr string) bool) { e.conns.closeSilent(isLost, time.Now()) }

// Close closes the idle connections.
func (e *Engines) Close() { e.transport.CloseIdleConnections() }

// Start implements [upstream.Engines]. The error wraps [upstream.ErrUnknownVersion] if
// the engine has not loaded the version.
func (e *Engines) Start(ctx context.Context, addr string, a upstream.Attempt) (upstream.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := newRequest(ctx, http.MethodPost, addr, url.URL{Path: "/v1/chat/completions"}, a.Body)
	if err != nil {
		cancel()
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Attempt-Id", a.ID)
	req.Header.Set("X-Priority", strconv.Itoa(a.Priority))
	req.Header.Set("X-Prefix-Hash", strconv.FormatUint(a.PrefixHash, 16))
	return e.open(addr, req, cancel, startCauses, a.MaySend)
}

// Resume implements [upstream.Engines]. The error wraps [upstream.ErrUnknownStream] if
// the engine has no stream of the attempt.
func (e *Engines) Resume(ctx context.Context, addr, attempt string, seq int) (upstream.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	target := streamTarget(attempt)
	target.RawQuery = "after=" + strconv.Itoa(seq)
	req, err := newRequest(ctx, http.MethodGet, addr, target, nil)
	if err != nil {
		cancel()
		return nil, err
	}
	return e.open(addr, req, cancel, streamCauses, nil)
}

func streamTarget(attempt string) url.URL { return url.URL{Path: "/v1/streams/" + attempt} }

// open sends the request and returns the stream of the response. It calls cancel on an
// error; otherwise the stream does.
func (e *Engines) open(addr string, req *http.Request, cancel context.CancelFunc, causes causeByStatus, maySend func() error) (upstream.Stream, error) {
	res, err := checkedRoundTrip(e.transport, req, maySend)
	if err != nil {
		cancel()
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		defer cancel()
		return nil, statusError(addr, res, causes)
	}
	return newStream(addr, res.Body, cancel), nil
}

// Cancel implements [upstream.Engines]. The error wraps [upstream.ErrUnknownStream] if
// the engine has no stream of the attempt.
func (e *Engines) Cancel(ctx context.Context, addr, attempt string) error {
	_, err := e.call(ctx, http.MethodDelete, addr, streamTarget(attempt), nil, streamCauses)
	return asError(err)
}

// Load implements [upstream.Engines].
func (e *Engines) Load(ctx context.Context, addr string) (upstream.LoadReport, error) {
	var r upstream.LoadReport
	err := e.get(ctx, addr, "/load", &r)
	return r, asError(err)
}

// Order implements [upstream.Engines]. The error wraps [upstream.ErrStaleFence] if the
// engine refuses the fencing token.
func (e *Engines) Order(ctx context.Context, addr string, o upstream.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return newError(addr, upstream.NotSent, eris.Wrap(err, "order"))
	}
	_, failure := e.call(ctx, http.MethodPost, addr, url.URL{Path: "/orders"}, body, orderCauses)
	return asError(failure)
}

// State implements [upstream.Engines].
func (e *Engines) State(ctx context.Context, addr string) (upstream.EngineState, error) {
	var state upstream.EngineState
	err := e.get(ctx, addr, "/state", &state)
	return state, asError(err)
}

// get reads a path and decodes the JSON response into v.
func (e *Engines) get(ctx context.Context, addr, path string, v any) *upstream.Error {
	body, failure := e.call(ctx, http.MethodGet, addr, url.URL{Path: path}, nil, nil)
	if failure != nil {
		return failure
	}
	if err := json.Unmarshal(body, v); err != nil {
		return newError(addr, upstream.MaybeRun, eris.Wrap(err, path))
	}
	return nil
}

// call sends a request and returns the body of a response with a 2xx status.
func (e *Engines) call(ctx context.Context, method, addr string, target url.URL, body []byte, causes causeByStatus) ([]byte, *upstream.Error) {
	req, err := newRequest(ctx, method, addr, target, body)
	if err != nil {
		return nil, err
	}
	res, err := roundTrip(e.transport, req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode/100 != 2 {
		return nil, statusError(addr, res, causes)
	}
	return readBody(addr, res)
}

// asError converts a nil *upstream.Error to a nil error.
func asError(err *upstream.Error) error {
	if err == nil {
		return nil
	}
	return err
}
