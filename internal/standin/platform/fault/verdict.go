package fault

import "time"

// Verdict is the decision about a call before it takes effect.
type Verdict struct {
	// Refuse answers with a refusal. The call has no effect.
	Refuse bool
	// Drop breaks the connection without an answer. The call has no effect.
	Drop bool
	// Delay is the time before the call takes effect.
	Delay time.Duration
}

// Ending is the decision about the answer to a call that was not refused or
// dropped.
type Ending int

const (
	// Answered means that the caller gets its answer.
	Answered Ending = iota
	// Lost means that the connection breaks without an answer.
	Lost
	// Silent means that no answer is sent and the connection stays open.
	Silent
)
