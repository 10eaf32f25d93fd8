package client

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// vms implements platform.ConditionalVMs with a Client.
type vms struct{ c *Client }

var _ platform.ConditionalVMs = vms{}

// List implements [platform.VMs]. Entries that cannot be decoded are left out.
func (v vms) List(ctx context.Context) ([]platform.VM, error) {
	list, err := v.ListIfChanged(ctx, "")
	return list.VMs, err
}

// ListIfChanged implements [platform.ConditionalVMs] with an HTTP entity tag. A platform
// that does not support entity tags always returns the list, without a tag.
func (v vms) ListIfChanged(ctx context.Context, tag string) (platform.TaggedVMs, error) {
	var received responseTag
	op := operation{method: http.MethodGet, path: wire.PathVMs, ifNoneMatch: tag, entityTag: &received}
	data, err := v.c.exchange(ctx, op)
	if err != nil {
		return platform.TaggedVMs{}, eris.Wrap(err, "platform: read the VM list")
	}
	if received.notModified {
		return platform.TaggedVMs{Tag: tag, Unchanged: true}, nil
	}
	entries, err := vmEntries(data)
	if err != nil {
		return platform.TaggedVMs{}, eris.Wrap(wire.Refused(err), "platform: decode the VM list")
	}
	list := platform.TaggedVMs{Tag: received.tag}
	for i, entry := range entries {
		var vm platform.VM
		if err := json.Unmarshal(entry, &vm); err != nil {
			list.Unreadable = append(list.Unreadable, eris.Wrapf(err, "entry %d of the VM list", i))
			continue
		}
		list.VMs = append(list.VMs, vm)
	}
	return list, nil
}

// vmEntries returns the encoded entries of a VM list. The decoder refuses a whole list for the
// sake of one entry that is nested too deeply, so that such a list is split without decoding.
func vmEntries(data []byte) ([]json.RawMessage, error) {
	var list struct {
		VMs []json.RawMessage `json:"vms"`
	}
	err := json.Unmarshal(data, &list)
	if err == nil {
		return list.VMs, nil
	}
	fields, splitErr := archive.Fields(bytes.TrimSpace(data))
	if splitErr != nil {
		return nil, err
	}
	for _, f := range fields {
		if entries, ok := archive.Elements(f.Value); ok && f.Name == "vms" {
			return entries, nil
		}
	}
	return nil, err
}

// RegisterVM adds a VM to the list of the stand-in platform, or replaces the one with
// the same ID.
func (c *Client) RegisterVM(ctx context.Context, vm platform.VM) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return eris.Wrap(wire.Refused(err), "platform: encode VM")
	}
	op := operation{method: http.MethodPost, path: wire.PathVMs, body: body, mutates: true}
	return c.do(ctx, op, nil)
}

// LeaveVM marks a VM in the list of the stand-in platform as leaving.
func (c *Client) LeaveVM(ctx context.Context, id string) error {
	op := operation{method: http.MethodPost, path: vmPath(id) + "/leave", body: []byte{}, mutates: true}
	return c.do(ctx, op, nil)
}

// RemoveVM removes a VM from the list of the stand-in platform. It is not an error if
// the VM is absent.
func (c *Client) RemoveVM(ctx context.Context, id string) error {
	return c.do(ctx, operation{method: http.MethodDelete, path: vmPath(id), mutates: true}, nil)
}

func vmPath(id string) string { return wire.PathVMs + "/" + url.PathEscape(id) }
