package client

import (
	"context"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// Rate implements [platform.Rater].
func (c *Client) Rate(ctx context.Context, req platform.RateRequest) (float64, error) {
	var resp wire.RateResponse
	err := c.post(ctx, wire.PathRate, req, &resp)
	return resp.Score, err
}
