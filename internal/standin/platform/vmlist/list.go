package vmlist

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// MaxLag is the longest lag whose past states are kept.
const MaxLag = 10 * time.Minute

// state is the whole list as it became at a time.
type state struct {
	since time.Time
	vms   []platform.VM
}

// List is the VM list with its recent past.
type List struct {
	// past holds the states in order of time; the last one is the present.
	past []state
}

// New returns an empty list.
func New() *List { return &List{past: []state{{}}} }

// AsOf returns the list, ordered by id, as it was at a time.
func (l *List) AsOf(at time.Time) []platform.VM {
	for i := len(l.past) - 1; i >= 0; i-- {
		if !l.past[i].since.After(at) {
			return slices.Clone(l.past[i].vms)
		}
	}
	return nil
}

// Register adds a VM, or replaces the one with its id.
func (l *List) Register(vm platform.VM, now time.Time) {
	vms := l.present()
	i, ok := find(vms, vm.ID)
	if ok {
		vms[i] = vm
	} else {
		vms = slices.Insert(vms, i, vm)
	}
	l.push(vms, now)
}

// Leave marks a VM as leaving; false when it is not there.
func (l *List) Leave(id string, now time.Time) bool {
	vms := l.present()
	i, ok := find(vms, id)
	if !ok {
		return false
	}
	vms[i].State = platform.Leaving
	l.push(vms, now)
	return true
}

// Remove takes a VM out; an absent one is no error.
func (l *List) Remove(id string, now time.Time) {
	vms := l.present()
	i, ok := find(vms, id)
	if !ok {
		return
	}
	l.push(slices.Delete(vms, i, i+1), now)
}

func (l *List) present() []platform.VM {
	return slices.Clone(l.past[len(l.past)-1].vms)
}

func (l *List) push(vms []platform.VM, now time.Time) {
	l.past = append(l.past, state{since: now, vms: vms})
	l.forget(now.Add(-MaxLag))
}

// forget drops the states that ended before a time.
func (l *List) forget(before time.Time) {
	first := 0
	for first+1 < len(l.past) && !l.past[first+1].since.After(before) {
		first++
	}
	l.past = slices.Delete(l.past, 0, first)
}

func find(vms []platform.VM, id string) (int, bool) {
	return slices.BinarySearchFunc(vms, id, func(vm platform.VM, id string) int {
		return cmp.Compare(vm.ID, id)
	})
}
