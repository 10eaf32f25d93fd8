package membership

// stateChange is a VM whose state differs between two views.
type stateChange struct {
	id   string
	from string // the name of the previous state, or "unknown"
	to   State
}

// changes returns the state changes between two views. VMs that were removed, and new VMs
// that are live, are not reported.
func changes(old, fresh *View) []stateChange {
	before := map[string]State{}
	old.each(func(m Member) { before[m.ID] = m.State })
	var list []stateChange
	fresh.each(func(m Member) {
		state, known := before[m.ID]
		switch {
		case known && state != m.State:
			list = append(list, stateChange{id: m.ID, from: state.String(), to: m.State})
		case !known && m.State != Live:
			list = append(list, stateChange{id: m.ID, from: "unknown", to: m.State})
		}
	})
	return list
}

func (v *View) each(do func(Member)) {
	for _, m := range v.Entries {
		do(m)
	}
	for _, m := range v.Engines {
		do(m)
	}
	for _, s := range v.Services {
		for _, m := range s.Members {
			do(m)
		}
	}
}
