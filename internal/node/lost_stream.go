package node

import "github.com/hickorybank/hickorybank/internal/lifecycle"

// streamUnknown reports that the engine does not know the attempt that was to be resumed: it never
// received the attempt, or has restarted since. That says nothing about the version.
func (r *chatRun) streamUnknown() []lifecycle.Decision {
	if r.node.hasCrashed(r.current.vm, r.current.epoch) {
		r.upstreamCrashed()
	}
	return r.machine.EngineFailed(r.current.attempt)
}

// upstreamCrashed reports to the suspects that the attempt's upstream has crashed.
func (r *chatRun) upstreamCrashed() {
	if r.current.adopted {
		return
	}
	r.node.suspects.crashed(r.current.vm.ID, r.current.epoch)
	r.node.crashes.crashed(r)
	r.current.concluded = true
}
