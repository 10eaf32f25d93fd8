package choice

import "time"

// Answer is a whole answer that an attempt gave.
type Answer struct {
	Version string
	Class   string
	// Took is the time from the attempt's start to its last byte.
	Took time.Duration
	// InputTokens and OutputTokens are what the answer is billed for.
	InputTokens  int
	OutputTokens int
	Now          time.Time
}
