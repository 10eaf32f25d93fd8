package membership

// StopEvent is an input of [Stopping].
type StopEvent uint8

// The events of a planned stop.
const (
	// StopOrdered asks the node to stop; a second one changes nothing.
	StopOrdered StopEvent = iota
	// PeersTold says that every peer leaves the node out of its answers.
	PeersTold
	// PeersMissed says that some peers could not be told.
	PeersMissed
	// Tick only lets time pass.
	Tick
	// BillsFlushed says that all bills are durable.
	BillsFlushed
)
