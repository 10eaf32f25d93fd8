package confsync

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/archive"
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
	shareNames(l.VMs)
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
func parseVMList(a *archive.Archive) (*vmList, error) {
	l := &vmList{raw: a.Raw(), tag: a.Tag()}
	if err := json.Unmarshal(a.Raw(), l); err != nil {
		return nil, eris.Wrap(err, "decode VM list")
	}
	if xxhash.Sum64(a.Raw()) != a.Tag() {
		return nil, eris.New("VM list does not have its digest")
	}
	shareNames(l.VMs)
	return l, nil
}

// shareNames lets VMs share the names that many of them have. Decoding makes a
// string of each, which the members' picture and the balancer's order keep.
func shareNames(vms []platform.VM) {
	names := map[string]string{}
	share := func(name string) string {
		if known, ok := names[name]; ok {
			return known
		}
		names[name] = name
		return name
	}
	for i := range vms {
		vm := &vms[i]
		vm.Role = platform.Role(share(string(vm.Role)))
		vm.Service = share(vm.Service)
		vm.FailureDomain = share(vm.FailureDomain)
		vm.State = platform.VMState(share(string(vm.State)))
	}
}
