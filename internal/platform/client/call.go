package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// operation is one HTTP request to the platform.
type operation struct {
	method string
	path   string
	body   []byte
	// mutates is set if the call can have an effect on the platform.
	mutates bool
	// ifNoneMatch is the entity tag for a conditional read; empty for an unconditional
	// one.
	ifNoneMatch string
	// entityTag receives the entity tag of the response if it is not nil.
	entityTag *responseTag
}

// responseTag is the entity tag of a response. notModified is set on status 304.
type responseTag struct {
	tag         string
	notModified bool
}

// onceBody is a request body that net/http cannot rewind. For a bytes.Reader, net/http
// sets Request.GetBody and may resend the request on another connection. The conditions
// of a commit that is resent after it took effect fail because of its own writes, and
// the caller would treat a completed write as a conflict. Without GetBody, net/http
// does not resend.
type onceBody struct{ io.Reader }

// Close implements [io.Closer].
func (onceBody) Close() error { return nil }

// do makes one call and decodes the response into out, if that is not nil.
func (c *Client) do(ctx context.Context, op operation, out any) error {
	data, err := c.exchange(ctx, op)
	if err != nil {
		return eris.Wrap(err, "platform: "+op.method+" "+op.path)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return eris.Wrap(op.classifyFailure(err), "platform: answer of "+op.path)
	}
	return nil
}

// exchange makes one call and returns the body of a complete and successful response.
// On status 304 the body is nil. A read whose response breaks off is sent once more.
func (c *Client) exchange(ctx context.Context, op operation) ([]byte, error) {
	if err := checkSize(op.body); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	data, err := c.send(ctx, op)
	if errors.Is(err, errBrokenOff) && !op.mutates && ctx.Err() == nil {
		return c.send(ctx, op)
	}
	return data, err
}

// send sends a call once.
func (c *Client) send(ctx context.Context, op operation) ([]byte, error) {
	var track sendTracker
	req, err := c.request(track.trace(ctx), op)
	if err != nil {
		return nil, wire.Refused(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if track.maybeSent() {
			return nil, op.classifyFailure(err)
		}
		return nil, wire.Refused(err)
	}
	defer resp.Body.Close()
	if op.entityTag != nil {
		*op.entityTag = responseTag{tag: resp.Header.Get("ETag"), notModified: resp.StatusCode == http.StatusNotModified}
		if op.entityTag.notModified {
			return nil, nil
		}
	}
	data, err := readBody(resp.Body)
	if err != nil {
		return nil, op.classifyFailure(err)
	}
	return data, op.checkStatus(resp, data)
}

// request builds the HTTP request of a call. A write cannot be resent by net/http; a
// read can.
func (c *Client) request(ctx context.Context, op operation) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, op.method, c.base+op.path, nil)
	if err != nil {
		return nil, err
	}
	if op.ifNoneMatch != "" {
		req.Header.Set("If-None-Match", op.ifNoneMatch)
	}
	if op.body == nil {
		return req, nil
	}
	req.ContentLength = int64(len(op.body))
	if op.mutates {
		req.Body = onceBody{bytes.NewReader(op.body)}
		return req, nil
	}
	req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(op.body)), nil }
	req.Body, err = req.GetBody()
	// A read may be resent. Without this header net/http does not resend a POST, and a
	// read on an idle connection that the platform is closing would fail although the
	// platform is available. A header with a nil value is not sent.
	req.Header[idempotencyKey] = nil
	return req, err
}

// idempotencyKey is the header that marks requests that net/http may resend.
const idempotencyKey = "X-Idempotency-Key"

var (
	errResponseTooLong = errors.New("answer too long")
	errBrokenOff       = errors.New("answer broke off")
)

// readBody reads a response of at most wire.MaxBody bytes.
func readBody(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, wire.MaxBody+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBrokenOff, err)
	}
	if len(data) > wire.MaxBody {
		return nil, errResponseTooLong
	}
	return data, nil
}

// classifyFailure returns the error for a failure after which the platform may have
// received the call.
func (op operation) classifyFailure(cause error) error {
	if op.mutates {
		return wire.Unknown(cause)
	}
	return wire.Refused(cause)
}

// checkStatus returns an error for an unsuccessful response. Only a refusal in the
// platform's own format proves that a write had no effect. Another error status may come
// from a proxy, after the write took effect.
func (op operation) checkStatus(resp *http.Response, data []byte) error {
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusNoContent {
		return nil
	}
	refusal := new(wire.Refusal)
	if json.Unmarshal(data, refusal) == nil && refusal.Reason != "" {
		return refusal
	}
	return op.classifyFailure(eris.Errorf("status %s", resp.Status))
}
