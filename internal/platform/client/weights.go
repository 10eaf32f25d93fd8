package client

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// FetchWeights downloads the weights of a version, discards them and returns the number
// of bytes received. The weight store limits the rate; only ctx limits the duration.
func (c *Client) FetchWeights(ctx context.Context, version string) (int64, error) {
	op := operation{method: http.MethodGet, path: wire.PathWeights + "/" + url.PathEscape(version)}
	n, err := c.download(ctx, op)
	if err != nil {
		return n, eris.Wrap(err, "platform: fetch weights")
	}
	return n, nil
}

// download makes a call without the time limit of the Client and discards the body.
func (c *Client) download(ctx context.Context, op operation) (int64, error) {
	req, err := c.request(ctx, op)
	if err != nil {
		return 0, wire.Refused(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, wire.Refused(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, op.readFailure(resp)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return n, wire.Refused(err)
	}
	return n, nil
}

// readFailure returns the error for an unsuccessful response.
func (op operation) readFailure(resp *http.Response) error {
	data, err := readBody(resp.Body)
	if err != nil {
		return op.classifyFailure(err)
	}
	return op.checkStatus(resp, data)
}
