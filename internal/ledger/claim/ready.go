package claim

import "time"

// Floor is what a shard says of its deleted rows.
type Floor struct {
	// Version is the version of the floor's row; 0 when there is none.
	Version uint64
	// Bucket is the lowest bucket of timed keys that still has its rows.
	Bucket int64
	// Seq is the lowest row that an opaque shard still has.
	Seq uint64
}

// Read asks for the rows from a number on, and for the floor if that is not
// known, in any order.
type Read struct {
	From  uint64
	Floor bool
}

// Create asks for a row to be created, under two conditions: that it is
// absent, and that the floor still has this version.
type Create struct {
	Seq   uint64
	Row   Row
	Floor uint64
}

// Ready is what a log wants done. At most one of Read and Create is set, and
// no other comes before its result was given back.
type Ready struct {
	Read    *Read
	Create  *Create
	Replies []Reply
	// Wake is when to call again without an event; zero means not at all.
	Wake time.Time
}
