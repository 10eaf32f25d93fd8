package choice

import "time"

// Answer is a complete answer to an attempt.
type Answer struct {
	Version string
	Class   string
	// Took is the time from the start of the attempt to the last byte.
	Took time.Duration
	// InputTokens and OutputTokens are the billed tokens.
	InputTokens  int
	OutputTokens int
	Now          time.Time
}
