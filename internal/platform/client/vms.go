package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// vms is the VM list as a Client reaches it.
type vms struct{ c *Client }

var _ platform.ConditionalVMs = vms{}

// List implements [platform.VMs].
func (v vms) List(ctx context.Context) ([]platform.VM, error) {
	var resp wire.VMsResponse
	err := v.c.do(ctx, call{method: http.MethodGet, path: wire.PathVMs}, &resp)
	return resp.VMs, err
}

// ListUnless implements [platform.ConditionalVMs] with an entity tag. A platform
// that knows none sends the list, without a tag.
func (v vms) ListUnless(ctx context.Context, tag string) (platform.TaggedVMs, error) {
	var seen seenTag
	what := call{method: http.MethodGet, path: wire.PathVMs, known: tag, seen: &seen}
	data, err := v.c.exchange(ctx, what)
	if err != nil {
		return platform.TaggedVMs{}, eris.Wrap(err, "platform: read the VM list")
	}
	if seen.unchanged {
		return platform.TaggedVMs{Tag: tag, Unchanged: true}, nil
	}
	var resp wire.VMsResponse
	if err := json.Unmarshal(data, &resp); err != nil {
		return platform.TaggedVMs{}, eris.Wrap(wire.Refused(err), "platform: decode the VM list")
	}
	return platform.TaggedVMs{VMs: resp.VMs, Tag: seen.tag}, nil
}

// RegisterVM adds a VM to the stand-in's list, or replaces the one with its id.
func (c *Client) RegisterVM(ctx context.Context, vm platform.VM) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return eris.Wrap(wire.Refused(err), "platform: encode VM")
	}
	what := call{method: http.MethodPost, path: wire.PathVMs, body: body, write: true}
	return c.do(ctx, what, nil)
}

// LeaveVM marks a VM of the stand-in's list as leaving.
func (c *Client) LeaveVM(ctx context.Context, id string) error {
	what := call{method: http.MethodPost, path: vmPath(id) + "/leave", body: []byte{}, write: true}
	return c.do(ctx, what, nil)
}

// RemoveVM takes a VM out of the stand-in's list; an absent one is no error.
func (c *Client) RemoveVM(ctx context.Context, id string) error {
	return c.do(ctx, call{method: http.MethodDelete, path: vmPath(id), write: true}, nil)
}

func vmPath(id string) string { return wire.PathVMs + "/" + url.PathEscape(id) }
