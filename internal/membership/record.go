package membership

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// maxBroken is the number of connections in a row that must break before a VM is suspected.
// A single connection may break for many reasons; a refused connection has few and makes the
// VM a suspect at once.
const maxBroken = 3

// record is the information about one VM.
type record struct {
	vm platform.VM
	// listedLeaving is set if the last list showed the VM leaving.
	listedLeaving bool
	// reportedLeaving is set if the VM reported, directly or through a peer, that it is
	// leaving.
	reportedLeaving bool
	// brokenCount counts the connections that broke since the VM last responded.
	brokenCount int
	// suspectUntil is when the VM is tried again; backoff doubles with each failure.
	suspectUntil time.Time
	backoff      time.Duration
	// load is the load in [0,1] that the VM reports.
	load float64
}

// state returns the VM's state. Leaving takes precedence over Suspect, because a leaving VM is
// expected to become unreachable.
func (r *record) state(now time.Time) State {
	switch {
	case r.reportedLeaving || r.vm.State == platform.Leaving:
		return Leaving
	case now.Before(r.suspectUntil):
		return Suspect
	default:
		return Live
	}
}

// updateFromList applies the entry of a newer list. The list lags and may show a VM live that
// has reported leaving. The report therefore stands until the list has shown the VM leaving
// and then live again.
func (r *record) updateFromList(vm platform.VM) {
	if r.listedLeaving && vm.State != platform.Leaving {
		r.reportedLeaving = false
	}
	r.listedLeaving = vm.State == platform.Leaving
	r.vm = vm
}

// observe records an observation and reports whether it may change the VM's state.
func (r *record) observe(o Outcome, now time.Time, s Settings) bool {
	switch o {
	case Reached:
		return r.reached()
	case ReportedServing:
		changed := r.reportedLeaving
		r.reportedLeaving = false
		return r.reached() || changed
	case ReportedLeaving:
		changed := !r.reportedLeaving
		r.reportedLeaving = true
		return changed
	case Broken:
		r.brokenCount++
		if r.brokenCount < maxBroken {
			return false
		}
	}
	return r.suspect(now, s)
}

// reached clears the recorded failures and reports whether the VM was a suspect.
func (r *record) reached() bool {
	changed := !r.suspectUntil.IsZero()
	r.brokenCount = 0
	r.suspectUntil = time.Time{}
	r.backoff = 0
	return changed
}

// failing reports whether there are failures that a response would clear.
func (r *record) failing() bool { return r.brokenCount > 0 || !r.suspectUntil.IsZero() }

// suspect makes the VM a suspect for a period that doubles with each failure in a row, and
// reports whether it did. The list may show a dead VM as live for as long as it lags, so that
// only a response or the end of the period makes the VM live again.
func (r *record) suspect(now time.Time, s Settings) bool {
	if now.Before(r.suspectUntil) {
		return false // calls that fail together count once
	}
	r.backoff = min(max(2*r.backoff, s.SuspectTime), s.MaxSuspectTime)
	r.suspectUntil = now.Add(r.backoff)
	return true
}
