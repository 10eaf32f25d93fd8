package membership

import "github.com/hickorybank/hickorybank/internal/platform"

// View is an immutable picture of the VMs, each part sorted by id.
type View struct {
	Entries  []Member
	Engines  []Member
	Services []ServiceMembers
}

// ServiceMembers are the VMs that offer one plain service.
type ServiceMembers struct {
	Service string
	Members []Member
}

// Service returns the VMs that offer a plain service, or nil.
func (v *View) Service(name string) []Member {
	for i := range v.Services {
		if v.Services[i].Service == name {
			return v.Services[i].Members
		}
	}
	return nil
}

// EntryVMs returns the entry VMs in every state, in the platform's form: one
// that said it leaves is leaving, whatever the list says.
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
