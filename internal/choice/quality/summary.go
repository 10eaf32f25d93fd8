package quality

// Summary is what one run of one node has seen, for its peers: all its cells or
// some. Each is cumulative: one of a later summary replaces one of an earlier,
// so that merging it again, or an older one after it, changes nothing.
type Summary struct {
	// Node and Epoch name the run; a later run has a higher epoch.
	Node  string
	Epoch uint64
	// Seq grows with each summary of the run.
	Seq   uint64
	Cells []Entry
}

// Entry is one cell of a summary.
type Entry struct {
	Key  Key
	Cell Cell
}

// Run names one run of one node.
type Run struct {
	Node  string
	Epoch uint64
}

// Run returns whose summary it is.
func (s Summary) Run() Run { return Run{Node: s.Node, Epoch: s.Epoch} }
