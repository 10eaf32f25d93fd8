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

// vmList is the platform's list with its encoding, as sent between peers.
type vmList struct {
	VMs    []platform.VM `json:"vms"`
	raw    []byte
	digest uint64
}

// newVMList sorts and encodes a list and computes its digest.
func newVMList(vms []platform.VM) (*vmList, error) {
	l := &vmList{VMs: slices.Clone(vms)}
	internNames(l.VMs)
	slices.SortFunc(l.VMs, func(a, b platform.VM) int { return cmp.Compare(a.ID, b.ID) })
	raw, err := json.Marshal(l)
	if err != nil {
		return nil, eris.Wrap(err, "encode VM list")
	}
	l.raw = raw
	l.digest = xxhash.Sum64(raw)
	return l, nil
}

// parseVMList decodes a list from the state of an archive and verifies its digest.
func parseVMList(a *archive.Archive) (*vmList, error) {
	l := &vmList{raw: a.Raw(), digest: a.Tag()}
	if err := json.Unmarshal(a.Raw(), l); err != nil {
		return nil, eris.Wrap(err, "decode VM list")
	}
	if xxhash.Sum64(a.Raw()) != a.Tag() {
		return nil, eris.Errorf("digest of VM list is %x, want %x", xxhash.Sum64(a.Raw()), a.Tag())
	}
	internNames(l.VMs)
	return l, nil
}

// internNames makes VMs share the strings of equal names. Decoding allocates a string for each,
// which the membership view and the balancer would keep.
func internNames(vms []platform.VM) {
	names := map[string]string{}
	intern := func(name string) string {
		if known, ok := names[name]; ok {
			return known
		}
		names[name] = name
		return name
	}
	for i := range vms {
		vm := &vms[i]
		vm.Role = platform.Role(intern(string(vm.Role)))
		vm.Service = intern(vm.Service)
		vm.FailureDomain = intern(vm.FailureDomain)
		vm.State = platform.VMState(intern(string(vm.State)))
	}
}
