package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// call is one HTTP exchange with the platform.
type call struct {
	method string
	path   string
	body   []byte
	// write says that the call may take effect.
	write bool
	// known is the tag of the state that the caller has, for a conditional
	// read; seen, if set, takes the answer's tag.
	known string
	seen  *seenTag
}

// seenTag is the entity tag of an answer.
type seenTag struct {
	tag       string
	unchanged bool
}

// onceBody is a request body that net/http cannot rewind. Given a
// bytes.Reader, net/http sets Request.GetBody and may send the request again
// on another connection. A commit sent again after it took effect would find
// its own conditions broken and be answered as a conflict: the caller would
// hold a done write for a lost race. Without GetBody there is no second sending.
type onceBody struct{ io.Reader }

// Close implements [io.Closer].
func (onceBody) Close() error { return nil }

// do exchanges one call and decodes the answer into out, if that is not nil.
func (c *Client) do(ctx context.Context, what call, out any) error {
	data, err := c.exchange(ctx, what)
	if err != nil {
		return eris.Wrap(err, "platform: "+what.method+" "+what.path)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return eris.Wrap(what.broken(err), "platform: answer of "+what.path)
	}
	return nil
}

// exchange returns the body of a whole and successful answer.
func (c *Client) exchange(ctx context.Context, what call) ([]byte, error) {
	if err := checkSize(what.body); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var track sent
	req, err := c.request(track.trace(ctx), what)
	if err != nil {
		return nil, wire.Refused(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if track.maybe() {
			return nil, what.broken(err)
		}
		return nil, wire.Refused(err)
	}
	defer resp.Body.Close()
	if what.seen != nil {
		*what.seen = seenTag{tag: resp.Header.Get("ETag"), unchanged: resp.StatusCode == http.StatusNotModified}
		if what.seen.unchanged {
			return nil, nil
		}
	}
	data, err := readBody(resp.Body)
	if err != nil {
		return nil, what.broken(err)
	}
	return data, what.status(resp, data)
}

func (c *Client) request(ctx context.Context, what call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, what.method, c.base+what.path, nil)
	if err != nil {
		return nil, err
	}
	if what.known != "" {
		req.Header.Set("If-None-Match", what.known)
	}
	if what.body == nil {
		return req, nil
	}
	req.ContentLength = int64(len(what.body))
	if what.write {
		req.Body = onceBody{bytes.NewReader(what.body)}
		return req, nil
	}
	req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(what.body)), nil }
	req.Body, err = req.GetBody()
	// A read may be sent again. Without this mark net/http does not, as it is a
	// POST, and a read on a kept connection that the platform is just closing
	// fails although the platform is well. An empty list is not sent.
	req.Header[idempotencyKey] = nil
	return req, err
}

// idempotencyKey marks requests that net/http may send again.
const idempotencyKey = "X-Idempotency-Key"

var errTooLong = errors.New("answer too long")

func readBody(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, wire.MaxBody+1))
	if err != nil {
		return nil, err
	}
	if len(data) > wire.MaxBody {
		return nil, errTooLong
	}
	return data, nil
}

// broken classifies a failure after which the call may have been received.
func (what call) broken(cause error) error {
	if what.write {
		return wire.Unknown(cause)
	}
	return wire.Refused(cause)
}

// status turns an unsuccessful answer into an error. Only a refusal in the
// platform's own form proves that a write had no effect: another error status
// may come from something between, after the write went through.
func (what call) status(resp *http.Response, data []byte) error {
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusNoContent {
		return nil
	}
	refusal := new(wire.Refusal)
	if json.Unmarshal(data, refusal) == nil && refusal.Reason != "" {
		return refusal
	}
	return what.broken(eris.Errorf("status %s", resp.Status))
}
