package suspect

import "time"

// Verdict is what becomes of a request that is about to run.
type Verdict int

// The verdicts.
const (
	// Run: it is no suspect.
	Run Verdict = iota
	// RunAlone: it is a suspect and may run, alone on its upstream.
	RunAlone
	// Wait: a Decision of Ready follows, at the latest after Settings.AskFor.
	Wait
	// Refuse: it is convicted, or permission is not to be had. It was not run.
	Refuse
)

// Decision is the verdict on one attempt.
type Decision struct {
	Attempt string
	Verdict Verdict
	// Convicted says, of a refusal, that the request has crashed upstreams
	// and not merely that permission is not to be had at present.
	Convicted bool
	// RetryAfter is set when refused.
	RetryAfter time.Duration
}
