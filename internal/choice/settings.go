package choice

// Settings are the static settings of a [Chooser].
type Settings struct {
	// Node names this node among its peers.
	Node string
	// Epoch tells the runs of a node apart; a later run has a higher one,
	// for example the start time in nanoseconds.
	Epoch uint64
}
