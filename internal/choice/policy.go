package choice

// Policy chooses versions. [Chooser] is the one in production; package choice/baseline
// holds policies for comparison.
type Policy interface {
	// Choose returns the plan for a request. It is safe for concurrent use.
	Choose(req Request) Plan
}
