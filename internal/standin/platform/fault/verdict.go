package fault

import "time"

// Verdict says what happens to one call before it takes effect.
type Verdict struct {
	// Refuse answers with a refusal; nothing takes effect.
	Refuse bool
	// Drop breaks the call off; nothing takes effect.
	Drop bool
	// Delay passes before the call takes effect.
	Delay time.Duration
}

// Ending says what becomes of the answer to a call.
type Ending int

// The endings.
const (
	// Answered means that the caller gets its answer.
	Answered Ending = iota
	// Lost means that the connection breaks without an answer.
	Lost
	// Silent means that no answer comes and the connection stays.
	Silent
)
