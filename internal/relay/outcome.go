package relay

// Outcome is a peer's answer to a request for a connection.
type Outcome string

const (
	// Connected means that the connection to the upstream is open.
	Connected Outcome = "connected"
	// Refused means that the upstream's address refused the connection.
	Refused Outcome = "refused"
	// Unanswered means that the upstream did not answer in time.
	Unanswered Outcome = "unanswered"
	// LinkLost means that the peer's own link to the upstream is lost.
	LinkLost Outcome = "link_lost"
	// AllLinksLost means that all links of the peer are lost.
	AllLinksLost Outcome = "all_links_lost"
	// LinkDoubtful means that the upstream was not reached, but neither were others a moment ago:
	// the peer's own links may be lost.
	LinkDoubtful Outcome = "link_doubtful"
	// Busy means that the peer carries as many connections as it may.
	Busy Outcome = "busy"
	// Stopping means that the peer takes no new connections.
	Stopping Outcome = "stopping"
	// UnknownUpstream means that the peer's list has no upstream at the address.
	UnknownUpstream Outcome = "unknown_upstream"
	// UnknownNode means that the peer does not know the node that asks.
	UnknownNode Outcome = "unknown_node"
	// Unreachable means that the peer itself did not answer.
	Unreachable Outcome = "peer_unreachable"
)

// isVerdict reports whether the outcome shows that the upstream itself cannot be reached.
func (o Outcome) isVerdict() bool { return o == Refused || o == Unanswered }

// excludesPeer reports whether the peer can't help with other upstreams either for a moment.
func (o Outcome) excludesPeer() bool {
	switch o {
	case AllLinksLost, Busy, Stopping, UnknownNode, Unreachable:
		return true
	}
	return false
}

// deprefersPeer reports whether other peers are more likely to help with any upstream.
func (o Outcome) deprefersPeer() bool { return o == LinkLost || o == LinkDoubtful }
