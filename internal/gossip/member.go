package gossip

// Member is a process of a node, as known to its peers.
type Member struct {
	// ID is the node's name. Born identifies the process: it increases with each restart of
	// the node.
	ID   string
	Born int64
	// Beat increases with each change that the member makes to its own entry.
	Beat uint64
	// Front is the address for callers, Peer the address for other nodes.
	Front, Peer    string
	Domain, Region string
	// Link is the bandwidth of the member's link in bytes per second; 0 if unknown.
	Link float64
	// Ready members can serve; leaving ones take no new callers.
	Ready, Leaving bool
	// Dead is set by a peer that could not reach the member. The member refutes it with a
	// greater Beat.
	Dead bool
}

// newer reports whether m supersedes old.
func (m *Member) newer(old *Member) bool {
	if m.Born != old.Born {
		return m.Born > old.Born
	}
	if m.Beat != old.Beat {
		return m.Beat > old.Beat
	}
	return m.Dead && !old.Dead
}
