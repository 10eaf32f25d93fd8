package client

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// trip sends the request at most once and classifies a failure.
//
// A failure is NotSent only when no connection was ever handed to the request.
// From that moment on bytes may have left, also on a reused connection that
// the upstream has closed meanwhile, so that it is MaybeRun.
func trip(t *http.Transport, req *http.Request) (*http.Response, *upstream.Error) {
	var got atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	res, err := t.RoundTrip(req)
	if err == nil {
		return res, nil
	}
	if got.Load() {
		return nil, fail(req.URL.Host, upstream.MaybeRun, err)
	}
	return nil, fail(req.URL.Host, upstream.NotSent, err)
}

// newRequest builds a request whose body can be sent once.
func newRequest(ctx context.Context, method, addr, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	if len(body) > 0 {
		req.Body = newOnceBody(body)
		req.ContentLength = int64(len(body))
	}
	return req, nil
}
