package membership

// StopEvent is an input of [Stopping].
type StopEvent uint8

// The events of a planned stop.
const (
	// StopOrdered requests a stop; further ones have no effect.
	StopOrdered StopEvent = iota
	// PeersNotified means that all peers were notified to omit this node from their answers.
	PeersNotified
	// PeersUnreachable means that some peers could not be notified.
	PeersUnreachable
	// Tick only advances the time.
	Tick
	// BillsFlushed means that all bills are durable.
	BillsFlushed
)
