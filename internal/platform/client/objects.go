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

// objects is the object store as a Client reaches it.
type objects struct{ c *Client }

var _ platform.Objects = objects{}

// Put implements [platform.Objects].
func (o objects) Put(ctx context.Context, key string, value []byte) error {
	if value == nil {
		value = []byte{}
	}
	what := call{method: http.MethodPut, path: objectPath(key), body: value, write: true}
	return o.c.do(ctx, what, nil)
}

// Get implements [platform.Objects].
func (o objects) Get(ctx context.Context, key string) ([]byte, bool, error) {
	what := call{method: http.MethodGet, path: objectPath(key)}
	value, err := o.c.exchange(ctx, what)
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
	what := call{method: http.MethodGet, path: wire.PathObjectKeys + "?" + query.Encode()}
	err := o.c.do(ctx, what, &resp)
	return resp.Keys, err
}

func objectPath(key string) string {
	query := url.Values{wire.QueryKey: {key}}
	return wire.PathObjects + "?" + query.Encode()
}
