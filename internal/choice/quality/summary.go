package quality

// Summary holds cells that one run has observed, for its peers: all cells or some of
// them. Cells are cumulative: one in a later summary replaces one in an earlier summary,
// so merging a summary again, or an older one after it, changes nothing.
type Summary struct {
	// Node and Epoch identify the run; a later run of a node has a higher epoch.
	Node  string
	Epoch uint64
	// Seq increases with each summary of the run.
	Seq   uint64
	Cells []Entry
}

// Entry is one cell of a summary.
type Entry struct {
	Key  Key
	Cell Cell
}

// Run identifies one process of a node. A later run has a higher epoch.
type Run struct {
	Node  string
	Epoch uint64
}

// Run returns the run that made the summary.
func (s Summary) Run() Run { return Run{Node: s.Node, Epoch: s.Epoch} }
