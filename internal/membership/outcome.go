package membership

// Outcome is a node's observation of a VM.
type Outcome uint8

// The outcomes.
const (
	// Reached means that the VM responded.
	Reached Outcome = iota
	// ConnectFailed means that no connection could be made.
	ConnectFailed
	// Broken means that a connection broke or no response arrived.
	Broken
	// ReportedLeaving means that the VM reported that it is leaving.
	ReportedLeaving
	// ReportedServing means that the VM reported that it is serving.
	ReportedServing
)
