package bill

import "time"

// batch is a row that is not stored yet.
type batch struct {
	number  uint64
	row     Row
	born    time.Time
	waiting []uint64
	// pieces are the copies that peers hold of what is in the row.
	pieces []Piece
	// held says that pieces cover all of the row.
	held bool
	// adopted says that the row was another's.
	adopted bool
	// resting says that it is in the backlog.
	resting bool

	table   outgoing
	objects outgoing
	hold    outgoing
}

// outgoing is a call that is out for a batch, to one place.
type outgoing struct {
	out  bool
	sent time.Time
	// again is when the next try may be made.
	again time.Time
}

func (o *outgoing) begin(now time.Time) { *o = outgoing{out: true, sent: now} }

func (o *outgoing) free(now time.Time) bool { return !o.out && !now.Before(o.again) }

func (b *batch) idle() bool { return !b.table.out && !b.objects.out && !b.hold.out }
