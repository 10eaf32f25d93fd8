package lifecycle

import "time"

// ChatSettings are the settings of one chat request.
type ChatSettings struct {
	// ID is unique to this arrival; attempt IDs derive from it.
	ID string
	// Versions are the stages of a cascade, in order; most requests have one. The answer of
	// each stage but the last is rated and is used if its score reaches Threshold.
	Versions  []string
	Threshold float64
	// Streaming sends chunks as they arrive. Without it the caller receives nothing before the
	// end, so a failed attempt can be replaced by another one.
	Streaming bool
	Deadline  time.Time
	// Resumable means that a caller who loses its connection may resume the stream through
	// any node, so its attempt is not cancelled.
	Resumable bool
	// MaxAttempts bounds the attempts over all stages.
	MaxAttempts int
	// MaxResumes bounds the resumptions of one attempt.
	MaxResumes int
}

// Default limits of a request.
const (
	DefaultMaxAttempts = 4
	DefaultMaxResumes  = 2
)
