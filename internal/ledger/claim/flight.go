package claim

// flight is a batch on its way into the log. Its row and number in the log
// stay the same until its fate is known, however often it is sent: whichever
// sending takes effect, the row is the same.
type flight struct {
	seq uint64
	row Row
	ops []Op
	// doubted says that a sending got no answer and may take effect yet.
	doubted bool
}

// resolve ends the flight when its place in the log is taken: by its own row,
// or by that of another writer, which bars it for good.
func (l *Log) resolve(stored *StoredRow) {
	f := l.flight
	if f == nil || f.seq != stored.Seq {
		return
	}
	l.flight = nil
	if stored.Row.Writer != f.row.Writer || stored.Row.Number != f.row.Number {
		l.requeue(f.ops)
		return
	}
	for i := range f.ops {
		l.answer(&f.ops[i])
	}
}

// answer replies by what the log says now, which is also right if the entry
// had no effect in its row.
func (l *Log) answer(op *Op) {
	v, r := l.index.judge(&op.Entry)
	if v == verdictWrite {
		v = VerdictRejected
	}
	l.reply(op, v, r)
}

func (l *Log) reply(op *Op, v Verdict, r record) {
	l.replies = append(l.replies, Reply{Number: op.Number, Verdict: v, Record: l.index.export(r), Row: r.row})
}

// requeue puts operations that were not written before those that came later.
func (l *Log) requeue(ops []Op) {
	l.pending = append(ops, l.pending...)
	l.judged = 0
}

// landUnlessDoubted gives up the flight after a refusal, so that its operations
// can be dropped or joined by others. A doubted one has to go on: an earlier
// sending may still take effect.
func (l *Log) landUnlessDoubted() {
	if l.flight.doubted {
		return
	}
	ops := l.flight.ops
	l.flight = nil
	l.requeue(ops)
}
