package suspect

import "time"

// Verdict says what happens to an attempt that is about to run.
type Verdict int

// Verdicts on attempts.
const (
	// Run means that the request is no suspect.
	Run Verdict = iota
	// RunAlone means that the request is a suspect and may run, alone on its upstream.
	RunAlone
	// Wait means that a Decision follows in Ready, at the latest after [Settings.MaxWait].
	Wait
	// Refuse means that the request is convicted, or did not get permission. It was not
	// run.
	Refuse
)

// Decision is the verdict on one attempt.
type Decision struct {
	Attempt string
	Verdict Verdict
	// Convicted is set, on Refuse, if the request has crashed upstreams, as opposed to
	// one that has no permission at present.
	Convicted bool
	// RetryAfter is the time after which the caller may try again; set on Refuse.
	RetryAfter time.Duration
}
