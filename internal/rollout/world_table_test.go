package rollout

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// simRow is the table's row.
type simRow struct {
	version uint64
	value   []byte
	record  Record
	// displaced is when the run before this one lost the row.
	displaced time.Time
}

func (w *world) readRow(n *simNode) {
	if w.faults.tableDown {
		n.answer(w.settings.CallTimeout, RowAnswer{Failed: true})
		return
	}
	w.after(w.hop(), func() {
		n.answer(w.hop(), RowAnswer{Version: w.row.version, Value: w.row.value})
	})
}

func (w *world) writeRow(n *simNode, a WriteRow) {
	switch {
	case w.faults.tableDown:
		n.answer(w.settings.CallTimeout, RowAnswer{Failed: true})
	case w.chance(w.faults.lateWrites):
		w.note("%s's write is late", n.id)
		w.after(w.random64(w.faults.late), func() { w.commit(a) })
		n.answer(w.settings.CallTimeout, RowAnswer{Failed: true})
	case w.chance(w.faults.loseAcks):
		w.note("%s's write loses its answer", n.id)
		w.after(w.hop(), func() { w.commit(a) })
		n.answer(w.settings.CallTimeout, RowAnswer{Failed: true})
	default:
		w.after(w.hop(), func() { n.answer(w.hop(), w.commit(a)) })
	}
}

func (w *world) random64(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d) + 1))
}

func (w *world) commit(a WriteRow) Event {
	if a.Version != w.row.version {
		return RowAnswer{Version: w.row.version, Value: w.row.value}
	}
	record, err := decodeRecord(a.Value)
	if err != nil {
		w.violate("row cannot be decoded: %v", err)
		return RowAnswer{Failed: true}
	}
	w.checkRecord(&record)
	if record.Run != w.row.record.Run {
		w.row.displaced = w.now
		w.note("%q holds term %d", record.Holder, record.Term)
	}
	before := w.row.record.Orders
	w.row.version++
	w.row.value, w.row.record = a.Value, record
	w.countAgain(before)
	return RowWritten{Version: w.row.version}
}

// checkRecord holds a new record against the one before.
func (w *world) checkRecord(r *Record) {
	if r.Term < w.row.record.Term {
		w.violate("term falls from %d to %d", w.row.record.Term, r.Term)
	}
	if r.Run != w.row.record.Run && r.Run != "" && r.Term == w.row.record.Term {
		w.violate("two runs have term %d", r.Term)
	}
	if n := r.loads(); n > w.mayLoad() {
		w.violate("%d loads in hand", n)
	}
	engines := map[string]bool{}
	for _, o := range r.Orders {
		if engines[o.Engine] {
			w.violate("two orders in hand at %s", o.Engine)
		}
		engines[o.Engine] = true
	}
}

// countAgain: while an unload is in hand its engine is not counted on; when it
// is left, the engine is counted on again.
func (w *world) countAgain(before []Pending) {
	for _, p := range before {
		if p.Action == upstream.UnloadVersion && !w.inHand(p.Engine, upstream.Order{Action: p.Action, Version: p.Version}) {
			w.engine(p.Engine).gainedAt[p.Version] = w.now
		}
	}
}

// inHand says whether the row has the order.
func (w *world) inHand(engine string, o upstream.Order) bool {
	return !w.inHandSince(engine, o).IsZero()
}

// inHandSince is when the row's order was decided, or zero.
func (w *world) inHandSince(engine string, o upstream.Order) time.Time {
	for _, p := range w.row.record.Orders {
		if p.Engine == engine && p.Action == o.Action && p.Version == o.Version {
			return p.Since
		}
	}
	return time.Time{}
}
