package confsync

import "time"

// invariant is a property that must hold in each step.
type invariant int

const (
	revisionNeverDecreases invariant = iota
	reportedStaysInForce
	boundIsKept
	proofIsTrue
	recoversFromFaults
)

func (i invariant) String() string {
	return [...]string{
		"a node went back", "a node admits work under a revision that was reported replaced",
		"a node admits work under a revision that was replaced for longer than the bound",
		"a proof is not true", "the faults are over, and a node is not as it must be",
	}[i]
}

// check verifies the invariants on all nodes.
func (w *world) check() {
	// newest is the newest revision stored for longer than the bound.
	newest := w.storedBefore(w.now - w.settings.Bound)
	for _, n := range w.nodes {
		if !n.dead {
			w.checkNode(n, newest)
		}
	}
}

// storedBefore returns the newest revision stored before an instant.
func (w *world) storedBefore(at time.Duration) uint64 {
	r := w.table.head()
	for r > 0 && w.table.stored[r] >= at { // few revisions are more recent than the bound
		r--
	}
	return r
}

func (w *world) checkNode(n *simNode, newest uint64) {
	applied := n.core.state.applied
	if applied < n.highestApplied {
		w.fail(revisionNeverDecreases, "%s went back from revision %d to %d", n.vm.ID, n.highestApplied, applied)
	}
	n.highestApplied = applied
	w.checkProof(n)
	if n.paused {
		return
	}
	if w.now >= n.core.FreshUntil() {
		n.refused = n.refused || n.admitted
		return
	}
	n.admitted = true
	if applied < w.reported {
		w.fail(reportedStaysInForce, "%s admits work under revision %d although %d was reported in force", n.vm.ID, applied, w.reported)
	}
	table := n.core.state.table
	if table.Valid && w.now < table.At+w.settings.Bound && applied < newest {
		w.fail(boundIsKept, "%s admits work under revision %d although %d is stored for longer than the bound", n.vm.ID, applied, newest)
	}
}

// checkProof verifies a node's proof of the table: the revision must not have been replaced
// before the proof's instant.
func (w *world) checkProof(n *simNode) {
	p := n.core.state.table
	if !p.Valid || p.Revision >= w.table.head() {
		return
	}
	if replaced := w.table.stored[p.Revision+1]; p.At > replaced {
		w.fail(proofIsTrue, "%s holds a proof of revision %d at %v, but it was replaced at %v", n.vm.ID, p.Revision, p.At, replaced)
	}
}

// checkSettled verifies that all nodes have recovered once all faults are over.
func (w *world) checkSettled() {
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		table := n.core.state.table
		if n.core.state.applied != w.table.head() {
			w.fail(recoversFromFaults, "%s has revision %d, want %d, after the faults", n.vm.ID, n.core.state.applied, w.table.head())
		}
		if !table.Valid || w.now >= table.At+w.settings.Bound {
			w.fail(recoversFromFaults, "%s has no recent proof after the faults", n.vm.ID)
		}
	}
}
