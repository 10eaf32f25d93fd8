package config

// Kind is the urgency of a class's requests.
type Kind string

// The kinds of classes, most urgent first.
const (
	// Immediate requests are short and need an answer at once: look-ups, licence checks.
	Immediate Kind = "immediate"
	// Heavy requests run long and must not be lost: drafts.
	Heavy Kind = "heavy"
	// Deferrable requests can wait: explanations, tags, summaries.
	Deferrable Kind = "deferrable"
)

// Class groups requests with the same urgency and deadline. Callers may name a class in place of
// a model.
type Class struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// DeadlineMillis is the time limit of a request, in milliseconds from its arrival.
	DeadlineMillis int64 `json:"deadline_ms"`
	// Model serves the class when a caller names only the class. If empty, any model that the
	// organisation may use serves it.
	Model string `json:"model,omitempty"`
	// Cascade allows a cheaper version to answer first, with its answer rated before it is returned.
	Cascade bool `json:"cascade"`
}
