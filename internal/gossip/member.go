package gossip

// Member is one run of a node.
type Member struct {
	// ID is the node's name, and Born tells its runs apart: a later run of the
	// same node has a greater one.
	ID   string
	Born int64
	// Beat grows with each change that the member itself makes to its entry.
	Beat uint64
	// Front is where callers connect, Peer where nodes do.
	Front, Peer    string
	Domain, Region string
	// Link is the bandwidth of the member's link in bytes a second; 0 if it is not
	// known.
	Link float64
	// Ready members can serve; leaving ones take no new callers.
	Ready, Leaving bool
	// Dead is set by a peer that could not reach the member; the member itself
	// lifts it with a greater Beat.
	Dead bool
}

// newer tells whether m supersedes old.
func (m *Member) newer(old *Member) bool {
	if m.Born != old.Born {
		return m.Born > old.Born
	}
	if m.Beat != old.Beat {
		return m.Beat > old.Beat
	}
	return m.Dead && !old.Dead
}
