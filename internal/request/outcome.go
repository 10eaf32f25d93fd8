package request

// Outcome is the final state of a request as the caller learns it.
type Outcome string

// The outcomes. The package comment says when a request counts as not run.
const (
	Completed Outcome = "completed"
	NotRun    Outcome = "not_run"
	Unknown   Outcome = "unknown"
)
