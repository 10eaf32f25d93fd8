package bill

import "time"

// Write is a request to write a row to a store, or to have peers hold it.
type Write struct {
	// Batch is the number of the batch. The Write must be returned with the result.
	Batch uint64
	Row   Row
	sent  time.Time
}

// HeldRow identifies a row that peers hold copies of.
type HeldRow struct {
	Writer  string
	Seq     uint64
	Holders []string // ids of VMs
}

// Reply is the reply to a bill that was added under Number.
type Reply struct {
	Number uint64
	Safety Safety
	// Tried describes, for Unsafe, what became of the calls to stores and peers.
	Tried string
}

// CollectorReady holds the calls to make for a collector, and replies.
type CollectorReady struct {
	// Table are rows to create in the table if absent. An existing row has the same
	// content, so a conflict is a success.
	Table []Write
	// Objects are rows to put to the object store.
	Objects []Write
	// Hold are rows that peers in other failure domains should hold.
	Hold []Write
	// Refresh are rows to refresh at their holders, which reply with those they do not
	// have.
	Refresh []HeldRow
	// Drop are rows whose copies are no longer needed.
	Drop    []HeldRow
	Replies []Reply
	// Wake is when to call Ready again if there is no event before; zero means never.
	Wake time.Time
}
