package fleet

// Result is the outcome of an attempt at its upstream.
type Result int

const (
	// Served means that the upstream responded.
	Served Result = iota
	// Failed means that the response was an error or was cut short.
	Failed
	// Unreached means that nothing was sent, or that the connection broke before the
	// response started.
	Unreached
	// Full means that the upstream rejected the attempt without running it.
	Full
	// Moved means that the attempt waited far longer than expected and was moved to another
	// upstream.
	Moved
	// Abandoned means that this node or its caller cancelled the attempt. It says nothing
	// about the upstream.
	Abandoned
)
