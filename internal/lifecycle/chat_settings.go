package lifecycle

import "time"

// ChatSettings are what a chat request's life is decided by.
type ChatSettings struct {
	// ID is unique to this arrival; attempt IDs derive from it.
	ID string
	// Versions is the plan: the first is run first. When there are more, the
	// answer of each but the last is rated and used if its score reaches
	// Threshold.
	Versions  []string
	Threshold float64
	// Streaming passes pieces on as they come. Without it the caller sees
	// nothing before the end, so that a broken attempt may be run again.
	Streaming bool
	Deadline  time.Time
	// Resumable says that a caller whose connection broke may read on through
	// any node: its attempt is then not cancelled.
	Resumable bool
	// MaxAttempts bounds the attempts over all versions.
	MaxAttempts int
	// MaxResumes bounds the resumptions of one attempt.
	MaxResumes int
}

// Limits that suit most requests.
const (
	DefaultMaxAttempts = 4
	DefaultMaxResumes  = 2
)
