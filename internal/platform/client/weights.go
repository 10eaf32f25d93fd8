package client

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// FetchWeights downloads a version's weights at the pace of the weight store,
// throws them away, and returns how many bytes came. Only the context bounds
// how long it takes.
func (c *Client) FetchWeights(ctx context.Context, version string) (int64, error) {
	what := call{method: http.MethodGet, path: wire.PathWeights + "/" + url.PathEscape(version)}
	n, err := c.download(ctx, what)
	if err != nil {
		return n, eris.Wrap(err, "platform: fetch weights")
	}
	return n, nil
}

func (c *Client) download(ctx context.Context, what call) (int64, error) {
	req, err := c.request(ctx, what)
	if err != nil {
		return 0, wire.Refused(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, wire.Refused(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, what.refusal(resp)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return n, wire.Refused(err)
	}
	return n, nil
}

// refusal reads an unsuccessful answer.
func (what call) refusal(resp *http.Response) error {
	data, err := readBody(resp.Body)
	if err != nil {
		return what.broken(err)
	}
	return what.status(resp, data)
}
