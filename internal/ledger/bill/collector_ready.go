package bill

import "time"

// Write is a row to be written to a store.
type Write struct {
	// Batch is given back with the result.
	Batch uint64
	Row   Row
	sent  time.Time
}

// Piece is a copy of a row that peers hold.
type Piece struct {
	Writer  string
	Seq     uint64
	Holders []string // ids of VMs
}

// Reply answers a bill.
type Reply struct {
	Number uint64
	Safety Safety
}

// CollectorReady is what a collector wants done.
type CollectorReady struct {
	// Table are rows to be created if absent. A row that is there is the
	// same, so a conflict is a success.
	Table []Write
	// Objects are rows to be put as objects.
	Objects []Write
	// Hold are rows to be held by peers in other failure domains.
	Hold []Write
	// Refresh are the pieces whose holders are to be told that this process
	// lives, and asked whether they still have them.
	Refresh []Piece
	// Drop are pieces that are needed no more.
	Drop    []Piece
	Replies []Reply
	// Wake is when to call again without an event; zero means not at all.
	Wake time.Time
}
