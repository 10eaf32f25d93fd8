package membership

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// brokenLimit is how many connections in a row must break before a VM is
// suspected: one may break for many reasons, a refused one for few.
const brokenLimit = 3

// record is what is known of one VM.
type record struct {
	vm platform.VM
	// listedLeaving says that a list has shown it leaving.
	listedLeaving bool
	// saidLeaving is its own word, or a peer's that heard it.
	saidLeaving bool
	// broken counts the connections that broke since it last answered.
	broken int
	// suspectUntil is when it is tried again; gap doubles with each failure.
	suspectUntil time.Time
	gap          time.Duration
	// load in [0,1] is what it reports of itself.
	load float64
}

// state is what this node thinks of the VM. Leaving goes before Suspect: a VM
// that leaves is expected to go.
func (r *record) state(now time.Time) State {
	switch {
	case r.saidLeaving || r.vm.State == platform.Leaving:
		return Leaving
	case now.Before(r.suspectUntil):
		return Suspect
	default:
		return Live
	}
}

// list takes what a newer list says. The list lags: it may show a VM live that
// has said it leaves, so that its word stands until the list, having shown it
// leaving, shows it live again.
func (r *record) list(vm platform.VM) {
	if r.listedLeaving && vm.State != platform.Leaving {
		r.saidLeaving = false
	}
	r.listedLeaving = vm.State == platform.Leaving
	r.vm = vm
}

// observe takes what was seen of the VM; it returns whether that may change
// its state.
func (r *record) observe(o Outcome, now time.Time, s Settings) bool {
	switch o {
	case Reached:
		return r.reached()
	case SaidServing:
		changed := r.saidLeaving
		r.saidLeaving = false
		return r.reached() || changed
	case SaidLeaving:
		changed := !r.saidLeaving
		r.saidLeaving = true
		return changed
	case Broken:
		r.broken++
		if r.broken < brokenLimit {
			return false
		}
	}
	return r.suspect(now, s)
}

func (r *record) reached() bool {
	changed := !r.suspectUntil.IsZero()
	r.broken = 0
	r.suspectUntil = time.Time{}
	r.gap = 0
	return changed
}

// accused says whether something stands against the VM.
func (r *record) accused() bool { return r.broken > 0 || !r.suspectUntil.IsZero() }

// suspect takes the VM out for a while. The list may show a dead VM live for
// as long as it lags, so that the list cannot bring it back: an answer does,
// or the end of the while, after which one failure takes it out for longer.
func (r *record) suspect(now time.Time, s Settings) bool {
	if now.Before(r.suspectUntil) {
		return false // calls that failed together count once
	}
	r.gap = min(max(2*r.gap, s.SuspectFor), s.LongestSuspect)
	r.suspectUntil = now.Add(r.gap)
	return true
}
