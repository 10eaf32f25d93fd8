package load

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// noAnswer is the outcome of a request without an answer, or with an unreadable one.
const noAnswer request.Outcome = "no_answer"

// Result is the result of one job. Times are since the beginning of the run; 0 means
// that the event did not occur.
type Result struct {
	Job     Job
	Started time.Duration
	First   time.Duration
	Ended   time.Duration
	// Gaps holds the times between consecutive pieces of a stream.
	Gaps []time.Duration

	Outcome request.Outcome
	// Code is the error code of the answer, or names the failure if there was no
	// answer.
	Code    string
	Check   Check
	Version string
	// Cost is in micro-units of currency.
	Cost         int64
	InputTokens  int
	OutputTokens int
	// Redials counts the tries of another address after a connection could not be
	// opened.
	Redials int
}

func (r *Result) completed() bool { return r.Outcome == request.Completed }
