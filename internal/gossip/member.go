package gossip

import "time"

// Member is one run of a node.
type Member struct {
	// ID is the node's name, and Born tells its runs apart: a later run of the
	// same node has a greater one.
	ID   string
	Born int64
	// Beat grows while the run lives.
	Beat uint64
	// Front is where callers connect, Peer where nodes do.
	Front, Peer    string
	Domain, Region string
	// Ready members can serve; leaving ones take no new callers.
	Ready, Leaving bool
	// Age is how long ago the sender heard of the beat.
	Age time.Duration
}
