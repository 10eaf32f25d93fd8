package claim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/request"
)

// phase is the state of a key that was claimed.
type phase uint8

const (
	claimed phase = iota
	settled
	released
)

// record is the state of a key in memory. Answers are not part of it: they are read
// from the table when a retry asks for one.
type record struct {
	print   request.Fingerprint
	attempt key.ID
	at      int64  // milliseconds since 1970
	row     uint64 // of the claim, or of the settlement once settled
	node    uint32 // index into index.nodes
	phase   phase
}

// index is the state that results from the rows of a log. It is a function of the rows
// alone: all processes that have read the same rows have the same index.
type index struct {
	// window is how long a key is retained; 0 means as long as its log.
	window  int64 // milliseconds
	records map[key.ID]record
	// releasedAttempts are the attempts that were released, by key. They are few.
	releasedAttempts map[key.ID][]key.ID
	nodes            []string
	nodeIndex        map[string]uint32
}

func newIndex(window time.Duration) *index {
	return &index{
		window:           window.Milliseconds(),
		records:          map[key.ID]record{},
		releasedAttempts: map[key.ID][]key.ID{},
		nodeIndex:        map[string]uint32{},
	}
}

// evaluate returns the verdict on an entry against the rows applied so far. An entry
// whose verdict is not verdictWrite has no effect, even if it is in a row.
func (x *index) evaluate(e *Entry) (Verdict, record) {
	r, known := x.find(e)
	switch e.Kind {
	case KindClaim:
		return x.evaluateClaim(e, r, known), r
	case KindSettle:
		return evaluateSettle(e, r, known), r
	default:
		return x.evaluateRelease(e, r, known), r
	}
}

// find returns the key's record. For a claim, it leaves out a record older than the
// retention window.
func (x *index) find(e *Entry) (record, bool) {
	r, ok := x.records[e.ID]
	if ok && x.window > 0 && e.Kind == KindClaim && e.At-r.at > x.window {
		return record{}, false
	}
	return r, ok
}

func (x *index) evaluateClaim(e *Entry, r record, known bool) Verdict {
	switch {
	case x.isReleased(e):
		return VerdictRejected
	case !known || r.phase == released:
		return verdictWrite
	case r.print != e.Print:
		return VerdictReused
	case r.phase == settled:
		return VerdictSettled
	case r.attempt == e.Attempt:
		return VerdictGranted
	default:
		return VerdictRunning
	}
}

// evaluateSettle returns verdictWrite also for a settlement that will have no effect,
// instead of rejecting it at once. The log may have been deleted while it was read,
// which only the conditions of the write reveal.
func evaluateSettle(e *Entry, r record, known bool) Verdict {
	if known && r.attempt == e.Attempt && r.phase == settled {
		return VerdictDone
	}
	return verdictWrite
}

func (x *index) evaluateRelease(e *Entry, r record, known bool) Verdict {
	switch {
	case x.isReleased(e):
		return VerdictDone
	case known && r.attempt == e.Attempt && r.phase == settled:
		return VerdictRejected
	default:
		return verdictWrite
	}
}

func (x *index) isReleased(e *Entry) bool {
	for _, attempt := range x.releasedAttempts[e.ID] {
		if attempt == e.Attempt {
			return true
		}
	}
	return false
}

// apply applies an entry of the row with the given sequence number, if it has an
// effect.
func (x *index) apply(seq uint64, e *Entry) {
	if v, _ := x.evaluate(e); v != verdictWrite {
		return
	}
	switch e.Kind {
	case KindClaim:
		x.records[e.ID] = record{print: e.Print, attempt: e.Attempt, at: e.At, row: seq, node: x.intern(e.Node)}
	case KindSettle:
		if r := x.records[e.ID]; r.attempt == e.Attempt && r.phase == claimed {
			r.phase, r.row = settled, seq
			x.records[e.ID] = r
		}
	case KindRelease:
		x.release(e)
	}
}

func (x *index) release(e *Entry) {
	x.releasedAttempts[e.ID] = append(x.releasedAttempts[e.ID], e.Attempt)
	if r, ok := x.records[e.ID]; ok && r.attempt == e.Attempt {
		r.phase = released
		x.records[e.ID] = r
	}
}

func (x *index) intern(node string) uint32 {
	n, ok := x.nodeIndex[node]
	if !ok {
		n = uint32(len(x.nodes))
		x.nodes = append(x.nodes, node)
		x.nodeIndex[node] = n
	}
	return n
}

// export returns the exported form of a record, without the settlement.
func (x *index) export(r record) Record {
	if r.at == 0 {
		return Record{}
	}
	return Record{
		Fingerprint: r.print,
		Attempt:     r.attempt.Attempt(),
		Node:        x.nodes[r.node],
		At:          time.UnixMilli(r.at).UTC(),
		Settled:     r.phase == settled,
	}
}
