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

// roundTrip sends the request at most once and determines how far a failed one got. It
// passes the headers of the response to the handler of the context.
func roundTrip(t *http.Transport, req *http.Request) (*http.Response, *upstream.Error) {
	return checkedRoundTrip(t, req, nil)
}

// checkedRoundTrip is roundTrip with a check immediately before the request is written: with an
// error of maySend it is not sent. A nil maySend checks nothing.
func checkedRoundTrip(t *http.Transport, req *http.Request, maySend func() error) (*http.Response, *upstream.Error) {
	tracker := &sendTracker{maySend: maySend, header: req.Header, bodyless: req.Method == http.MethodHead, written: make(chan struct{})}
	res, err := t.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), tracker.trace())))
	if err != nil {
		return nil, newError(req.URL.Host, tracker.reach(), err)
	}
	c := tracker.usedConn()
	if c != nil && res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		res.Body = &unframedBody{res.Body, tracker}
	}
	if c != nil && c.relayed {
		res.Body = &relayedBody{res.Body, c}
	}
	if handle := upstream.NoticeHandlerFrom(req.Context()); handle != nil {
		handle(parseNotices(res.StatusCode, res.Header), time.Now())
	}
	return res, nil
}

// newRequest builds a request that can be sent once.
func newRequest(ctx context.Context, method, addr string, target url.URL, body []byte) (*http.Request, *upstream.Error) {
	target.Scheme = "http"
	target.Host = addr
	req, err := http.NewRequestWithContext(ctx, method, target.String(), nil)
	if err != nil {
		return nil, newError(addr, upstream.NotSent, eris.Wrap(err, "request"))
	}
	req.Body = newOnceBody(body)
	req.ContentLength = int64(len(body))
	return req, nil
}
