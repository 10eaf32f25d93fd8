package confsync

import "time"

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
		w.fail("%s went back from revision %d to %d", n.vm.ID, n.seen, applied)
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
		w.fail("%s admits work under revision %d although %d was reported in force", n.vm.ID, applied, w.reported)
	}
	table := n.core.known.table
	if table.Valid && w.now < table.At+w.settings.Bound && applied < newest {
		w.fail("%s admits work under revision %d although %d is stored for longer than the bound", n.vm.ID, applied, newest)
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
		w.fail("%s holds a proof of revision %d at %v, but it was replaced at %v", n.vm.ID, p.Revision, p.At, replaced)
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
			w.fail("%s has revision %d, not %d, after the faults", n.vm.ID, n.core.known.applied, w.table.head())
		}
		if !table.Valid || w.now >= table.At+w.settings.Bound {
			w.fail("%s has no young proof after the faults", n.vm.ID)
		}
	}
}
