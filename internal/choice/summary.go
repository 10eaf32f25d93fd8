package choice

// Summary is what one run of one node has seen, for its peers. Merging the
// same summary again, or an older one of the same run, changes nothing.
type Summary struct {
	Node  string
	Epoch uint64
	// Seq grows with each summary of the run.
	Seq uint64
}
