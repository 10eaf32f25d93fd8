package choice

// Policy chooses versions. [Chooser] is the one in use; package
// choice/baseline holds the ones that it is measured against.
type Policy interface {
	// Choose returns the plan for a request. It is safe for concurrent use.
	Choose(req Request) Plan
}
