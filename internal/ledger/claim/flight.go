package claim

// batch is the row that is being written, with its operations. The row and its sequence
// number stay the same in all tries until the result is known. So it does not matter
// which of the tries takes effect.
type batch struct {
	seq uint64
	row Row
	ops []Op
	// unanswered means that a try got no answer and may still take effect.
	unanswered bool
}

// resolveBatch ends the batch in flight once the log has a row with its sequence
// number. That is its own row, or the row of another writer; then the batch can never
// be written there.
func (l *Log) resolveBatch(stored *StoredRow) {
	b := l.inFlight
	if b == nil || b.seq != stored.Seq {
		return
	}
	l.inFlight = nil
	if stored.Row.Writer != b.row.Writer || stored.Row.Number != b.row.Number {
		l.requeue(b.ops)
		return
	}
	for i := range b.ops {
		l.replyFromIndex(&b.ops[i])
	}
}

// replyFromIndex replies according to the current index. This is also correct if the
// entry is in the row but had no effect.
func (l *Log) replyFromIndex(op *Op) {
	v, r := l.index.evaluate(&op.Entry)
	if v == verdictWrite {
		v = VerdictRejected
	}
	l.reply(op, v, r)
}

func (l *Log) reply(op *Op, v Verdict, r record) {
	l.replies = append(l.replies, Reply{Number: op.Number, Verdict: v, Record: l.index.export(r), Row: r.row})
}

// requeue puts operations that were not written ahead of those added later.
func (l *Log) requeue(ops []Op) {
	l.pending = append(ops, l.pending...)
	l.evaluated = 0
}

// requeueUnlessUnanswered dissolves the batch in flight after a refusal, so that its
// operations can expire or be batched with others. A batch with an unanswered try must
// be kept, because that try may still take effect.
func (l *Log) requeueUnlessUnanswered() {
	if l.inFlight.unanswered {
		return
	}
	ops := l.inFlight.ops
	l.inFlight = nil
	l.requeue(ops)
}
