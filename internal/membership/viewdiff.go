package membership

// stateChange is a VM whose state in two views differs.
type stateChange struct {
	id   string
	from string // the name of the state before, or "unknown"
	to   State
}

// changes compares two views. A VM that is gone is no change of its state, and
// one that is new and live is none worth a record.
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
