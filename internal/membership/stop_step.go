package membership

// StopStep is a decision of [Stopping].
type StopStep uint8

// The steps of a planned stop, in their order.
const (
	// LeaveAddresses: tell the peers, and name this node in no answer.
	LeaveAddresses StopStep = iota + 1
	// RefuseNew: refuse new requests, not run, and close connections after
	// their answer.
	RefuseNew
	// CloseIdle: close connections without a request.
	CloseIdle
	// Flush: make all bills durable.
	Flush
	// Exit: end the process.
	Exit
)
