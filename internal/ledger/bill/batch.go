package bill

import "time"

// batch is a row that is not stored yet.
type batch struct {
	number    uint64
	row       Row
	createdAt time.Time
	waiting   []uint64 // numbers of the bills that wait for a reply
	// heldRows are the rows that peers hold copies of and whose bills are in this row.
	heldRows []HeldRow
	// copies is the number of copies that the last request to hold the row has made; it is
	// -1 before the first one ends.
	copies int
	// gaveUp means that the row's bills were reported as unsafe.
	gaveUp bool
	// held means that heldRows cover all bills of the row, or that it is taken.
	held bool
	// taken means that another collector has made all bills of the row safe.
	taken bool
	// adopted means that the row was taken over from another owner.
	adopted bool
	// offered means that another collector keeps all bills of the row until they are safe here.
	offered bool
	// inBacklog means that no caller waits for the row any more.
	inBacklog bool

	table   callState
	objects callState
	hold    callState
}

// callState is the state of a batch's calls to one destination.
type callState struct {
	inFlight bool
	sent     time.Time
	// nextTry is the earliest time of the next try.
	nextTry time.Time
}

func (o *callState) start(now time.Time) { *o = callState{inFlight: true, sent: now} }

func (o *callState) canStart(now time.Time) bool { return !o.inFlight && !now.Before(o.nextTry) }

func (b *batch) idle() bool { return !b.table.inFlight && !b.objects.inFlight && !b.hold.inFlight }
