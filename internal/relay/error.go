package relay

import "fmt"

// Error is the failure to connect to an upstream directly and through peers.
type Error struct {
	Addr string
	// Direct is the error of the direct connection; nil if it was not tried.
	Direct error
	// Peer is the outcome at the last peer; empty if there was none to ask.
	Peer Outcome
	// linkLost is set if the failure says nothing about the upstream.
	linkLost bool
}

// Error returns both outcomes.
func (e *Error) Error() string {
	peer := e.Peer
	if peer == "" {
		peer = "none"
	}
	return fmt.Sprintf("connect to %s: direct: %v, through a peer: %s", e.Addr, e.Direct, peer)
}

// Unwrap returns the error of the direct connection.
func (e *Error) Unwrap() error { return e.Direct }

// LinkLost reports whether this node's link to the upstream is lost and no peer could help.
// The upstream itself may be sound.
func (e *Error) LinkLost() bool { return e.linkLost }
