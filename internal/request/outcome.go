package request

// Outcome is what became of a request.
type Outcome string

// The outcomes.
const (
	Completed Outcome = "completed"
	NotRun    Outcome = "not_run"
	Unknown   Outcome = "unknown"
)
