package relay

// Loss is the loss of a direct link to an upstream.
type Loss struct {
	// Addr is the upstream's host and port.
	Addr string
	// Peer is the ID of the peer that reaches the upstream; empty if none does.
	Peer string
	// Unanswered is set if direct connections get no answer, as opposed to a refusal.
	Unanswered bool
	// All is set once the links to all upstreams count as lost.
	All bool
}
