package config

// Kind says how urgent the requests of a class are.
type Kind string

// The kinds of work, most urgent first.
const (
	// Immediate work must simply answer: look-ups, licence checks.
	Immediate Kind = "immediate"
	// Heavy work is long and must not be lost: drafts.
	Heavy Kind = "heavy"
	// Deferrable work can wait: explanations, tags, summaries.
	Deferrable Kind = "deferrable"
)

// Class is a kind of request that callers may name as the model.
type Class struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// DeadlineMillis is how long a request may take from its arrival.
	DeadlineMillis int64 `json:"deadline_ms"`
	// Model is the model that serves the class when a caller names only
	// the class. Empty means any model that the organisation may use.
	Model string `json:"model,omitempty"`
	// Cascade says that the class can wait for a rated first try.
	Cascade bool `json:"cascade"`
}
