package membership

// StopStep is a decision of [Stopping].
type StopStep uint8

// The steps of a planned stop, in their order.
const (
	// LeaveAddresses: tell the peers, and name this node in no answer.
	// [PeersTold] or [PeersMissed] answers it.
	LeaveAddresses StopStep = iota + 1
	// RefuseNew: refuse new requests, not run, and name the end of the
	// connection in each answer.
	RefuseNew
	// CloseIdle: close connections without a request.
	CloseIdle
	// Flush: make all bills durable. [BillsFlushed] answers it; without an
	// answer it comes again.
	Flush
	// Exit: end the process.
	Exit
)

// String returns the step's name.
func (s StopStep) String() string {
	switch s {
	case LeaveAddresses:
		return "leave addresses"
	case RefuseNew:
		return "refuse new"
	case CloseIdle:
		return "close idle"
	case Flush:
		return "flush"
	case Exit:
		return "exit"
	default:
		return "none"
	}
}
