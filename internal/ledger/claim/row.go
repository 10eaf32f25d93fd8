package claim

// Row is one row of a log: the entries that one writer wrote together.
type Row struct {
	// Writer and Number identify the batch. A writer whose acknowledgement
	// was lost finds out from them whether the row is its own.
	Writer  string
	Number  uint64
	Entries []Entry
}

// StoredRow is a row with its place in the log.
type StoredRow struct {
	Seq uint64
	Row Row
}
