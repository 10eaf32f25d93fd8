package confsync

import "time"

// Status is the state of a node's configuration sync.
type Status struct {
	// Revision is the revision applied here; 0 means none.
	Revision uint64
	Preset   string
	// Fresh is set if new work is admitted.
	Fresh bool
	// Outage is set if new work is admitted although the table is unreachable, because more
	// than half of the entry nodes cannot reach it.
	Outage bool
	// ProofAge is the age of the latest proof.
	ProofAge time.Duration
	// Reader is set if this node reads the table for its failure domain.
	Reader bool
	// Parent is the address of the peer that this node pulls from, if any.
	Parent string
	// Children is the number of peers that pull from this node.
	Children int
}
