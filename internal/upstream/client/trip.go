package client

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// trip sends the request at most once and classifies a failure.
func trip(t *http.Transport, req *http.Request) (*http.Response, *upstream.Error) {
	var s sending
	res, err := t.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), s.trace())))
	if err != nil {
		return nil, fail(req.URL.Host, s.reach(), err)
	}
	if heard := upstream.HeardFrom(req.Context()); heard != nil {
		heard(announced(res.StatusCode, res.Header), time.Now())
	}
	return res, nil
}

// newRequest builds a request that can be sent once.
func newRequest(ctx context.Context, method, addr string, target url.URL, body []byte) (*http.Request, *upstream.Error) {
	target.Scheme = "http"
	target.Host = addr
	req, err := http.NewRequestWithContext(ctx, method, target.String(), nil)
	if err != nil {
		return nil, fail(addr, upstream.NotSent, eris.Wrap(err, "request"))
	}
	req.Body = newOnceBody(body)
	req.ContentLength = int64(len(body))
	return req, nil
}
