package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// maxAnswer bounds an answer that is read as a whole, in bytes.
const maxAnswer = 16 << 20

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
	req, err := newRequest(ctx, http.MethodPost, addr, "/v1/chat/completions", a.Body)
	if err != nil {
		return nil, fail(addr, upstream.NotSent, eris.Wrap(err, "start"))
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Attempt-Id", a.ID)
	req.Header.Set("X-Priority", strconv.Itoa(a.Priority))
	req.Header.Set("X-Prefix-Hash", strconv.FormatUint(a.PrefixHash, 16))
	return e.open(addr, req)
}

// Resume reads the attempt's stream again from the piece after seq.
func (e *Engines) Resume(ctx context.Context, addr, attempt string, seq int) (upstream.Stream, error) {
	req, err := newRequest(ctx, http.MethodGet, addr, streamPath(attempt)+"?after="+strconv.Itoa(seq), nil)
	if err != nil {
		return nil, fail(addr, upstream.NotSent, eris.Wrap(err, "resume"))
	}
	return e.open(addr, req)
}

func streamPath(attempt string) string { return "/v1/streams/" + url.PathEscape(attempt) }

func (e *Engines) open(addr string, req *http.Request) (upstream.Stream, error) {
	res, fault := trip(e.transport, req)
	if fault != nil {
		return nil, fault
	}
	if res.StatusCode != http.StatusOK {
		return nil, statusFailure(addr, res)
	}
	return newStream(addr, res.Body), nil
}

// Cancel stops the attempt at the engine.
func (e *Engines) Cancel(ctx context.Context, addr, attempt string) error {
	_, err := e.call(ctx, http.MethodDelete, addr, streamPath(attempt), nil)
	return err
}

// Load returns the engine's lagging load report.
func (e *Engines) Load(ctx context.Context, addr string) (upstream.LoadReport, error) {
	var r upstream.LoadReport
	return r, e.get(ctx, addr, "/load", &r)
}

// Order tells the engine what to load, unload or be.
func (e *Engines) Order(ctx context.Context, addr string, o upstream.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fail(addr, upstream.NotSent, eris.Wrap(err, "order"))
	}
	_, err = e.call(ctx, http.MethodPost, addr, "/orders", body)
	return err
}

// State reads back what the engine has.
func (e *Engines) State(ctx context.Context, addr string) (upstream.EngineState, error) {
	var st upstream.EngineState
	err := e.get(ctx, addr, "/state", &st)
	return st, err
}

func (e *Engines) get(ctx context.Context, addr, path string, v any) error {
	body, err := e.call(ctx, http.MethodGet, addr, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fail(addr, upstream.MaybeRun, eris.Wrap(err, path))
	}
	return nil
}

// call sends a short request and returns the body of a 2xx answer.
func (e *Engines) call(ctx context.Context, method, addr, path string, body []byte) ([]byte, error) {
	req, err := newRequest(ctx, method, addr, path, body)
	if err != nil {
		return nil, fail(addr, upstream.NotSent, eris.Wrap(err, path))
	}
	res, fault := trip(e.transport, req)
	if fault != nil {
		return nil, fault
	}
	if res.StatusCode/100 != 2 {
		return nil, statusFailure(addr, res)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return nil, fail(addr, upstream.MaybeRun, eris.Wrap(err, path))
	}
	return data, nil
}
