package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// Get implements [platform.Table].
func (c *Client) Get(ctx context.Context, key string) (platform.Row, error) {
	var row platform.Row
	if err := checkKeys(key); err != nil {
		return row, eris.Wrap(err, "platform: get")
	}
	err := c.post(ctx, wire.PathGet, wire.GetRequest{Key: key}, &row)
	return row, err
}

// Scan implements [platform.Table].
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := checkKeys(prefix, after); err != nil {
		return nil, eris.Wrap(err, "platform: scan")
	}
	var resp wire.ScanResponse
	req := wire.ScanRequest{Prefix: prefix, After: after, Limit: limit}
	err := c.post(ctx, wire.PathScan, req, &resp)
	return resp.Rows, err
}

// Commit implements [platform.Table].
func (c *Client) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	var result platform.CommitResult
	if err := checkTxn(txn); err != nil {
		return result, eris.Wrap(err, "platform: commit")
	}
	body, err := json.Marshal(txn)
	if err != nil {
		return result, eris.Wrap(wire.Refused(err), "platform: encode commit")
	}
	op := operation{method: http.MethodPost, path: wire.PathCommit, body: body, mutates: true}
	err = c.do(ctx, op, &result)
	return result, err
}

// post makes a call that only reads.
func (c *Client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return eris.Wrap(wire.Refused(err), "platform: encode "+path)
	}
	return c.do(ctx, operation{method: http.MethodPost, path: path, body: body}, out)
}
