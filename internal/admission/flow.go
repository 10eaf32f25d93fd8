package admission

// flow is one organisation's waiting requests of one kind in one pool.
type flow struct {
	org    string
	weight float64
	// finish is the virtual time at which what the organisation has had so far
	// is paid for.
	finish float64
	queue  byDeadline
	cost   float64 // of the queue
}
