package confsync

import "time"

// Confirmation is the extent to which a revision is in force.
type Confirmation struct {
	Revision uint64
	// InForce is set if no node admits work under an older revision, now or later: enough
	// nodes have confirmed the revision, and each proof of an older one is older than the
	// bound. The nodes in Lagging then refuse new work.
	InForce bool
	// Members is the number of known entry nodes, Have the number of those that confirmed,
	// and Needed the number that must confirm.
	Members int
	Have    int
	Needed  int
	// Lagging are the IDs of nodes that have not confirmed, at most [MaxLagging];
	// LaggingMore is the number of further ones.
	Lagging     []string
	LaggingMore int
	// Since is the time since this node first learned of the revision.
	Since time.Duration
}

// MaxLagging is the maximum number of node IDs in [Confirmation.Lagging].
const MaxLagging = 32
