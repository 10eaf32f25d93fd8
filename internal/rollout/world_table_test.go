package rollout

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// simRow simulates the table's row.
type simRow struct {
	version uint64
	value   []byte
	record  Record
	// lostAt is when the run before this one lost the row.
	lostAt time.Time
}

func (w *world) readRow(n *simNode) {
	if w.faults.tableDown {
		n.answer(w.settings.CallTimeout, RowAnswer{Failed: true})
		return
	}
	w.after(w.latency(), func() {
		n.answer(w.latency(), RowAnswer{Version: w.row.version, Value: w.row.value})
	})
}

func (w *world) writeRow(n *simNode, a WriteRow) {
	switch {
	case w.faults.tableDown:
		n.answer(w.settings.CallTimeout, RowAnswer{Failed: true})
	case w.chance(w.faults.lateWrites):
		w.logf("%s's write is late", n.id)
		w.after(w.randomDuration(w.faults.delay), func() { w.commit(a) })
		n.answer(w.settings.CallTimeout, RowAnswer{Failed: true})
	case w.chance(w.faults.loseAcks):
		w.logf("%s's write loses its answer", n.id)
		w.after(w.latency(), func() { w.commit(a) })
		n.answer(w.settings.CallTimeout, RowAnswer{Failed: true})
	default:
		w.after(w.latency(), func() { n.answer(w.latency(), w.commit(a)) })
	}
}

func (w *world) randomDuration(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d) + 1))
}

func (w *world) commit(a WriteRow) Event {
	if a.Version != w.row.version {
		return RowAnswer{Version: w.row.version, Value: w.row.value}
	}
	record, err := decodeRecord(a.Value)
	if err != nil {
		w.violatef("row cannot be decoded: %v", err)
		return RowAnswer{Failed: true}
	}
	w.checkRecord(&record)
	if record.Run != w.row.record.Run {
		w.row.lostAt = w.now
		w.logf("%q holds term %d", record.Holder, record.Term)
	}
	before := w.row.record.Orders
	w.row.version++
	w.row.value, w.row.record = a.Value, record
	w.updateGained(before)
	return RowWritten{Version: w.row.version}
}

// checkRecord compares a new record with the one before.
func (w *world) checkRecord(r *Record) {
	if r.Term < w.row.record.Term {
		w.violatef("term falls from %d to %d", w.row.record.Term, r.Term)
	}
	if r.Run != w.row.record.Run && r.Run != "" && r.Term == w.row.record.Term {
		w.violatef("two runs have term %d", r.Term)
	}
	if n := r.loads(); n > w.maxLoads() {
		w.violatef("%d loads in hand", n)
	}
	engines := map[string]bool{}
	for _, o := range r.Orders {
		if engines[o.Engine] {
			w.violatef("two orders in hand at %s", o.Engine)
		}
		engines[o.Engine] = true
	}
}

// updateGained sets gainedAt where a pending unload was dropped: the engine counts as
// ready again.
func (w *world) updateGained(before []Pending) {
	for _, p := range before {
		if p.Action == upstream.UnloadVersion && !w.isPending(p.Engine, upstream.Order{Action: p.Action, Version: p.Version}) {
			w.engine(p.Engine).gainedAt[p.Version] = w.now
		}
	}
}

// isPending reports whether the row contains the order.
func (w *world) isPending(engine string, o upstream.Order) bool {
	return !w.pendingSince(engine, o).IsZero()
}

// pendingSince is when the row's order was decided, or zero.
func (w *world) pendingSince(engine string, o upstream.Order) time.Time {
	for _, p := range w.row.record.Orders {
		if p.Engine == engine && p.Action == o.Action && p.Version == o.Version {
			return p.Since
		}
	}
	return time.Time{}
}
