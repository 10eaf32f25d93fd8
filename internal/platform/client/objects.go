package client

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// objects implements platform.Objects with a Client.
type objects struct{ c *Client }

var _ platform.Objects = objects{}

// Put implements [platform.Objects]. A nil value creates an empty object.
func (o objects) Put(ctx context.Context, key string, value []byte) error {
	if value == nil {
		value = []byte{}
	}
	op := operation{method: http.MethodPut, path: objectPath(key), body: value, mutates: true}
	return o.c.do(ctx, op, nil)
}

// Get implements [platform.Objects].
func (o objects) Get(ctx context.Context, key string) ([]byte, bool, error) {
	op := operation{method: http.MethodGet, path: objectPath(key)}
	value, err := o.c.exchange(ctx, op)
	var refusal *Refusal
	if errors.As(err, &refusal) && refusal.Reason == wire.Absent {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, eris.Wrap(err, "platform: get object")
	}
	return value, true, nil
}

// List implements [platform.Objects].
func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	var resp wire.KeysResponse
	query := url.Values{wire.QueryPrefix: {prefix}}
	op := operation{method: http.MethodGet, path: wire.PathObjectKeys + "?" + query.Encode()}
	err := o.c.do(ctx, op, &resp)
	return resp.Keys, err
}

func objectPath(key string) string {
	query := url.Values{wire.QueryKey: {key}}
	return wire.PathObjects + "?" + query.Encode()
}
