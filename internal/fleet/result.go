package fleet

// Result is how an attempt ended at its upstream.
type Result int

const (
	// Served attempts were answered.
	Served Result = iota
	// Failed attempts were answered with a failure or cut short.
	Failed
	// Unreached attempts found no upstream: nothing was sent, or the
	// connection broke before an answer began.
	Unreached
	// Full attempts were turned away, not run.
	Full
	// Moved attempts had waited far longer than usual and went elsewhere.
	Moved
	// Abandoned attempts were given up by this node or its caller; they tell
	// nothing of the upstream.
	Abandoned
)
