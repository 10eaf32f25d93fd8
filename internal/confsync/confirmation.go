package confsync

import "time"

// Confirmation says how far a revision is in force.
type Confirmation struct {
	Revision uint64
	// InForce says that no node admits work under an older revision, now or
	// later: enough nodes have confirmed it, and every proof of an older one
	// has outlived the bound. The nodes in Lagging refuse new work then.
	InForce bool
	// Members is how many entry nodes are known, Have how many of them
	// confirmed, and Needed how many must.
	Members int
	Have    int
	Needed  int
	// Lagging are the ids of nodes that did not confirm, at most
	// [MaxLagging]; LaggingMore is how many more there are.
	Lagging     []string
	LaggingMore int
	// Since is how long ago this node first learned of the revision.
	Since time.Duration
}

// MaxLagging bounds the list of lagging nodes.
const MaxLagging = 32
