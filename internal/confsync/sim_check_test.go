package confsync

import "time"

// invariant is what must hold.
type invariant int

const (
	upwards invariant = iota
	reportedHolds
	boundHolds
	proofTrue
	settlesAll
)

func (i invariant) String() string {
	return [...]string{
		"a node went back", "a node admits work under a revision that was reported replaced",
		"a node admits work under a revision that was replaced for longer than the bound",
		"a proof is not true", "the faults are over, and a node is not as it must be",
	}[i]
}

// check looks at the invariants.
func (w *world) check() {
	// newest is the newest revision stored for longer than the bound.
	newest := w.storedBefore(w.now - w.settings.Bound)
	for _, n := range w.nodes {
		if !n.dead {
			w.checkNode(n, newest)
		}
	}
}

func (w *world) storedBefore(at time.Duration) uint64 {
	r := w.table.head()
	for r > 0 && w.table.stored[r] >= at { // few are as young as the bound
		r--
	}
	return r
}

func (w *world) checkNode(n *simNode, newest uint64) {
	applied := n.core.known.applied
	if applied < n.seen {
		w.fail(upwards, "%s went back from revision %d to %d", n.vm.ID, n.seen, applied)
	}
	n.seen = applied
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
		w.fail(reportedHolds, "%s admits work under revision %d although %d was reported in force", n.vm.ID, applied, w.reported)
	}
	table := n.core.known.table
	if table.Valid && w.now < table.At+w.settings.Bound && applied < newest {
		w.fail(boundHolds, "%s admits work under revision %d although %d is stored for longer than the bound", n.vm.ID, applied, newest)
	}
}

// checkProof demands that a proof of the table is true: at its instant the
// revision had not been replaced yet.
func (w *world) checkProof(n *simNode) {
	p := n.core.known.table
	if !p.Valid || p.Revision >= w.table.head() {
		return
	}
	if replaced := w.table.stored[p.Revision+1]; p.At > replaced {
		w.fail(proofTrue, "%s holds a proof of revision %d at %v, but it was replaced at %v", n.vm.ID, p.Revision, p.At, replaced)
	}
}

// settled says what is not as it must be once all faults are over.
func (w *world) checkSettled() {
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		table := n.core.known.table
		if n.core.known.applied != w.table.head() {
			w.fail(settlesAll, "%s has revision %d, not %d, after the faults", n.vm.ID, n.core.known.applied, w.table.head())
		}
		if !table.Valid || w.now >= table.At+w.settings.Bound {
			w.fail(settlesAll, "%s has no young proof after the faults", n.vm.ID)
		}
	}
}
