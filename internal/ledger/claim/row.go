package claim

// Row is one row of a log: a batch of entries by one writer.
type Row struct {
	// Writer and Number identify the batch. A writer whose write got no answer
	// compares them to find out whether the row is its own.
	Writer  string
	Number  uint64
	Entries []Entry
}

// StoredRow is a row with its sequence number in the log.
type StoredRow struct {
	Seq uint64
	Row Row
}
