package membership

// StopStep is an action requested by [Stopping].
type StopStep uint8

// The steps of a planned stop, in order.
const (
	// LeaveAddresses notifies the peers and omits this node from all answers. The result
	// is reported as [PeersNotified] or [PeersUnreachable].
	LeaveAddresses StopStep = iota + 1
	// RefuseNew refuses new requests without running them, and announces in each response
	// that the connection will be closed.
	RefuseNew
	// CloseIdle closes connections without a request.
	CloseIdle
	// Flush makes all bills durable. Completion is reported as [BillsFlushed]; without it
	// the step is repeated each second.
	Flush
	// Exit ends the process.
	Exit
)

// String returns the step's name in lower case.
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
