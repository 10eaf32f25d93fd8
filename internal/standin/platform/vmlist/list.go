package vmlist

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// MaxLag is how long past states are kept, and so the longest lag of a read.
const MaxLag = 10 * time.Minute

// state is the whole list as it was from a time until the next state.
type state struct {
	since time.Time
	vms   []platform.VM
}

// List is the VM list with its history of the last [MaxLag]. It is not safe for
// concurrent use.
type List struct {
	// states are in order of time. The last one is the current state.
	states []state
}

// New returns an empty list.
func New() *List { return &List{states: []state{{}}} }

// AsOf returns a copy of the list at a time, ordered by id. It returns nil for a
// time before the kept history.
func (l *List) AsOf(at time.Time) []platform.VM {
	for i := len(l.states) - 1; i >= 0; i-- {
		if !l.states[i].since.After(at) {
			return slices.Clone(l.states[i].vms)
		}
	}
	return nil
}

// Register adds a VM, or replaces the VM with the same id.
func (l *List) Register(vm platform.VM, now time.Time) {
	vms := l.current()
	i, ok := find(vms, vm.ID)
	if ok {
		vms[i] = vm
	} else {
		vms = slices.Insert(vms, i, vm)
	}
	l.record(vms, now)
}

// Leave sets a VM's state to leaving. It reports false when no VM has the id.
func (l *List) Leave(id string, now time.Time) bool {
	vms := l.current()
	i, ok := find(vms, id)
	if !ok {
		return false
	}
	vms[i].State = platform.Leaving
	l.record(vms, now)
	return true
}

// Remove deletes a VM. It does nothing when no VM has the id.
func (l *List) Remove(id string, now time.Time) {
	vms := l.current()
	i, ok := find(vms, id)
	if !ok {
		return
	}
	l.record(slices.Delete(vms, i, i+1), now)
}

// current returns a copy of the current list.
func (l *List) current() []platform.VM {
	return slices.Clone(l.states[len(l.states)-1].vms)
}

// record makes vms the current state and drops outdated history.
func (l *List) record(vms []platform.VM, now time.Time) {
	l.states = append(l.states, state{since: now, vms: vms})
	l.prune(now.Add(-MaxLag))
}

// prune drops the states that ended at or before the cutoff.
func (l *List) prune(cutoff time.Time) {
	first := 0
	for first+1 < len(l.states) && !l.states[first+1].since.After(cutoff) {
		first++
	}
	l.states = slices.Delete(l.states, 0, first)
}

// find returns the position where the VM with an id is or belongs, and whether it
// is present.
func find(vms []platform.VM, id string) (int, bool) {
	return slices.BinarySearchFunc(vms, id, func(vm platform.VM, id string) int {
		return cmp.Compare(vm.ID, id)
	})
}
