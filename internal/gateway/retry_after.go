package gateway

import "time"

const (
	// urgencyStep is how much later, as a part of the usual wait, callers of
	// each less urgent priority are asked to return.
	urgencyStep = 0.25
	// mostSteps bounds the steps: no caller waits more than twice as long.
	mostSteps = 4
	// spread is the part of the wait over which callers of one priority are
	// spread.
	spread = 0.5
)

// retryAfterOf is when a refused caller should return: the more urgent first, and
// not all at the same moment.
//
// It guards against refused callers that return together and are refused
// together again: callers try only a few times, so the second refusal is often
// the last. A draw is a number from 0 to 1.
func retryAfterOf(usual time.Duration, priority int, draw float64) time.Duration {
	steps := float64(min(max(priority, 0), mostSteps))
	return time.Duration(float64(usual) * (1 + urgencyStep*steps + spread*draw)).Round(time.Millisecond)
}
