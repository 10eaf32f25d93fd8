package claim

import "time"

// Floor is the low watermark of a shard: the rows below it were deleted.
type Floor struct {
	// Version is the version of the floor's row in the table; 0 if there is none.
	Version uint64
	// Bucket is the lowest bucket of timed keys whose rows still exist.
	Bucket int64
	// Seq is the lowest sequence number of a row that still exists, for opaque keys.
	Seq uint64
}

// Read requests the rows from a sequence number on, and the floor if it is not known.
// The two may be read in any order.
type Read struct {
	From  uint64
	Floor bool
}

// Create requests that a row be created, on condition that it is absent and that the
// floor still has the version Floor.
type Create struct {
	Seq   uint64
	Row   Row
	Floor uint64
}

// Ready holds the calls to make for a log, and replies. At most one of Read and Create
// is set. No further call is requested before the log has its result.
type Ready struct {
	Read    *Read
	Create  *Create
	Replies []Reply
	// Wake is when to call Ready again if there is no event before; zero means never.
	Wake time.Time
}
