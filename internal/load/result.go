package load

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// noAnswer is the outcome of a request that got no answer or a broken one.
const noAnswer request.Outcome = "no_answer"

// Result is what became of one job. Times are since the beginning of the run;
// 0 means that it did not happen.
type Result struct {
	Job     Job
	Started time.Duration
	First   time.Duration
	Ended   time.Duration
	// Gaps are the times between two pieces of a stream.
	Gaps []time.Duration

	Outcome request.Outcome
	// Code is the failure's, or what broke.
	Code    string
	Check   Check
	Version string
	// Cost is in micro-units of currency.
	Cost         int64
	InputTokens  int
	OutputTokens int
	// Redials is how often another address was tried because one could not be
	// connected to.
	Redials int
}

func (r *Result) completed() bool { return r.Outcome == request.Completed }
