package membership

// Outcome is what a node saw of a VM.
type Outcome uint8

// The outcomes.
const (
	// Reached means that the VM answered.
	Reached Outcome = iota
	// ConnectFailed means that no connection could be made.
	ConnectFailed
	// Broken means that a connection broke or an answer did not come.
	Broken
	// SaidLeaving means that the VM said itself that it leaves.
	SaidLeaving
	// SaidServing means that the VM said itself that it serves.
	SaidServing
)
