package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// View builds the view as of now.
func (c *Core) View(now time.Time) *View {
	v := &View{}
	services := map[string][]Member{}
	for _, r := range c.records {
		m := Member{VM: r.vm, State: r.state(now), Load: r.load}
		switch r.vm.Role {
		case platform.RoleEntry:
			v.Entries = append(v.Entries, m)
		case platform.RoleEngine:
			v.Engines = append(v.Engines, m)
		case platform.RoleService:
			services[r.vm.Service] = append(services[r.vm.Service], m)
		}
	}
	for name, members := range services {
		sortByID(members)
		v.Services = append(v.Services, ServiceMembers{Service: name, Members: members})
	}
	slices.SortFunc(v.Services, func(a, b ServiceMembers) int { return cmp.Compare(a.Service, b.Service) })
	sortByID(v.Entries)
	sortByID(v.Engines)
	return v
}

func sortByID(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
}
