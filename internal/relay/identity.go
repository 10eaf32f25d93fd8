package relay

// Identity names one process of a node.
type Identity struct {
	// ID is the node's name.
	ID string `json:"id"`
	// Born is when the process started, in Unix nanoseconds.
	Born int64 `json:"born"`
}
