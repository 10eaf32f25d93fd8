package membership

import "github.com/hickorybank/hickorybank/internal/platform"

// View is an immutable snapshot of the VMs. Each slice is sorted by ID, Services by name.
type View struct {
	// Entries are the entry VMs, including this node's own.
	Entries []Member
	// Engines are the engine VMs.
	Engines []Member
	// Services are the VMs of each plain service.
	Services []ServiceMembers
}

// ServiceMembers are the VMs that offer one plain service.
type ServiceMembers struct {
	Service string
	Members []Member
}

// Service returns the VMs that offer the named service, or nil.
func (v *View) Service(name string) []Member {
	for i := range v.Services {
		if v.Services[i].Service == name {
			return v.Services[i].Members
		}
	}
	return nil
}

// EntryVMs returns the entry VMs in all states as platform VMs. A VM that reported leaving is
// returned as leaving, whatever the platform's list shows.
func (v *View) EntryVMs() []platform.VM {
	vms := make([]platform.VM, 0, len(v.Entries))
	for _, m := range v.Entries {
		vm := m.VM
		if m.State == Leaving {
			vm.State = platform.Leaving
		}
		vms = append(vms, vm)
	}
	return vms
}
