package confsync

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// vmList is the platform's list in the form that travels between peers.
type vmList struct {
	VMs []platform.VM `json:"vms"`
	raw []byte
	tag uint64
}

// newVMList sorts and encodes a list; its digest names it.
func newVMList(vms []platform.VM) (*vmList, error) {
	l := &vmList{VMs: slices.Clone(vms)}
	slices.SortFunc(l.VMs, func(a, b platform.VM) int { return cmp.Compare(a.ID, b.ID) })
	raw, err := json.Marshal(l)
	if err != nil {
		return nil, eris.Wrap(err, "encode VM list")
	}
	l.raw = raw
	l.tag = xxhash.Sum64(raw)
	return l, nil
}

// parseVMList decodes the state of an archive.
func parseVMList(a *archive) (*vmList, error) {
	l := &vmList{raw: a.raw, tag: a.tag}
	if err := json.Unmarshal(a.raw, l); err != nil {
		return nil, eris.Wrap(err, "decode VM list")
	}
	if xxhash.Sum64(a.raw) != a.tag {
		return nil, eris.New("VM list does not have its digest")
	}
	return l, nil
}
