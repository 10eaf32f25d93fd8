package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Engines reaches model engines over HTTP.
type Engines struct{ transport *http.Transport }

var _ upstream.Engines = (*Engines)(nil)

// NewEngines returns a client with its own pool of connections.
func NewEngines(o Options) *Engines {
	return &Engines{transport: newTransport(o.withDefaults())}
}

// Close drops idle connections.
func (e *Engines) Close() { e.transport.CloseIdleConnections() }

// Start sends the attempt and returns its stream.
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
	return e.open(addr, req, cancel, startCauses)
}

// Resume reads the attempt's stream again from the piece after seq.
func (e *Engines) Resume(ctx context.Context, addr, attempt string, seq int) (upstream.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	target := streamTarget(attempt)
	target.RawQuery = "after=" + strconv.Itoa(seq)
	req, err := newRequest(ctx, http.MethodGet, addr, target, nil)
	if err != nil {
		cancel()
		return nil, err
	}
	return e.open(addr, req, cancel, streamCauses)
}

func streamTarget(attempt string) url.URL { return url.URL{Path: "/v1/streams/" + attempt} }

func (e *Engines) open(addr string, req *http.Request, cancel context.CancelFunc, causes causeByStatus) (upstream.Stream, error) {
	res, err := trip(e.transport, req)
	if err != nil {
		cancel()
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		defer cancel()
		return nil, statusFailure(addr, res, causes)
	}
	return newStream(addr, res.Body, cancel), nil
}

// Cancel stops the attempt at the engine. An attempt that the engine does not
// know is an error that wraps [upstream.ErrUnknownStream].
func (e *Engines) Cancel(ctx context.Context, addr, attempt string) error {
	_, err := e.call(ctx, http.MethodDelete, addr, streamTarget(attempt), nil, streamCauses)
	return plain(err)
}

// Load returns the engine's lagging load report.
func (e *Engines) Load(ctx context.Context, addr string) (upstream.LoadReport, error) {
	var r upstream.LoadReport
	err := e.get(ctx, addr, "/load", &r)
	return r, plain(err)
}

// Order tells the engine what to load, unload or be. An order that the engine
// refuses as old is an error that wraps [upstream.ErrStaleFence].
func (e *Engines) Order(ctx context.Context, addr string, o upstream.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fail(addr, upstream.NotSent, eris.Wrap(err, "order"))
	}
	_, fault := e.call(ctx, http.MethodPost, addr, url.URL{Path: "/orders"}, body, orderCauses)
	return plain(fault)
}

// State reads back what the engine has.
func (e *Engines) State(ctx context.Context, addr string) (upstream.EngineState, error) {
	var st upstream.EngineState
	err := e.get(ctx, addr, "/state", &st)
	return st, plain(err)
}

func (e *Engines) get(ctx context.Context, addr, path string, v any) *upstream.Error {
	body, fault := e.call(ctx, http.MethodGet, addr, url.URL{Path: path}, nil, nil)
	if fault != nil {
		return fault
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fail(addr, upstream.MaybeRun, eris.Wrap(err, path))
	}
	return nil
}

// call sends a short request and returns the body of a 2xx answer.
func (e *Engines) call(ctx context.Context, method, addr string, target url.URL, body []byte, causes causeByStatus) ([]byte, *upstream.Error) {
	req, err := newRequest(ctx, method, addr, target, body)
	if err != nil {
		return nil, err
	}
	res, err := trip(e.transport, req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode/100 != 2 {
		return nil, statusFailure(addr, res, causes)
	}
	return readWhole(addr, res)
}

// plain turns a nil *upstream.Error into a nil error.
func plain(err *upstream.Error) error {
	if err == nil {
		return nil
	}
	return err
}
