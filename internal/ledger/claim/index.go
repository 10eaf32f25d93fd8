package claim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/request"
)

type phase uint8

const (
	claimed phase = iota
	settled
	released
)

// record is what is kept in memory of a key. Answers stay in the table: they
// are read when a retry asks for one.
type record struct {
	print   request.Fingerprint
	attempt key.ID
	at      int64 // milliseconds since 1970
	row     uint64
	node    uint32
	phase   phase
}

// index is the state that the rows of a log add up to. Whoever has read the
// same rows has the same index.
type index struct {
	// window is how long a key is kept; 0 means as long as its log.
	window  int64 // milliseconds
	records map[key.ID]record
	// barred are the attempts that were released, by key. They are few.
	barred map[key.ID][]key.ID
	nodes  []string
	number map[string]uint32
}

func newIndex(window time.Duration) *index {
	return &index{
		window:  window.Milliseconds(),
		records: map[key.ID]record{},
		barred:  map[key.ID][]key.ID{},
		number:  map[string]uint32{},
	}
}

// judge says what an entry would do. The rows decide alone: an entry that is
// judged otherwise than verdictWrite changes nothing even if it is in a row.
func (x *index) judge(e *Entry) (Verdict, record) {
	r, known := x.find(e)
	switch e.Kind {
	case KindClaim:
		return x.judgeClaim(e, r, known), r
	case KindSettle:
		return judgeSettle(e, r, known), r
	default:
		return x.judgeRelease(e, r, known), r
	}
}

// find returns the key's record, unless it is older than the window.
func (x *index) find(e *Entry) (record, bool) {
	r, ok := x.records[e.ID]
	if ok && x.window > 0 && e.Kind == KindClaim && e.At-r.at > x.window {
		return record{}, false
	}
	return r, ok
}

func (x *index) judgeClaim(e *Entry, r record, known bool) Verdict {
	switch {
	case x.isBarred(e):
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

// judgeSettle has an entry written that does nothing, rather than reject it at
// once: the log may have been deleted while it was read, and the conditions of
// the write tell.
func judgeSettle(e *Entry, r record, known bool) Verdict {
	if known && r.attempt == e.Attempt && r.phase == settled {
		return VerdictDone
	}
	return verdictWrite
}

func (x *index) judgeRelease(e *Entry, r record, known bool) Verdict {
	switch {
	case x.isBarred(e):
		return VerdictDone
	case known && r.attempt == e.Attempt && r.phase == settled:
		return VerdictRejected
	default:
		return verdictWrite
	}
}

func (x *index) isBarred(e *Entry) bool {
	for _, attempt := range x.barred[e.ID] {
		if attempt == e.Attempt {
			return true
		}
	}
	return false
}

// apply lets an entry of a row take effect, if it has any.
func (x *index) apply(seq uint64, e *Entry) {
	if v, _ := x.judge(e); v != verdictWrite {
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
	x.barred[e.ID] = append(x.barred[e.ID], e.Attempt)
	if r, ok := x.records[e.ID]; ok && r.attempt == e.Attempt {
		r.phase = released
		x.records[e.ID] = r
	}
}

func (x *index) intern(node string) uint32 {
	n, ok := x.number[node]
	if !ok {
		n = uint32(len(x.nodes))
		x.nodes = append(x.nodes, node)
		x.number[node] = n
	}
	return n
}

// export returns the record for a reply.
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
