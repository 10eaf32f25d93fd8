package confsync

import "time"

// Status is what a node says of its own configuration.
type Status struct {
	// Revision is the one applied here; 0 means none.
	Revision uint64
	Preset   string
	// Fresh says whether new work is admitted.
	Fresh bool
	// Outage says that new work is admitted because more than half of the
	// entry nodes cannot reach the table either.
	Outage bool
	// ProofAge is the age of the youngest proof.
	ProofAge time.Duration
	// Reader says that this node reads the table for its failure domain.
	Reader bool
	// Parent is the address of the peer that this node pulls from, if any.
	Parent string
	// Children is how many peers pull from this node.
	Children int
}
