package gateway

import "time"

const (
	// priorityStep is how much longer callers of each less urgent priority are asked to
	// wait, as a fraction of the usual wait.
	priorityStep = 0.25
	// maxPrioritySteps bounds the steps, so that they at most double the wait.
	maxPrioritySteps = 4
	// retrySpread is the fraction of the wait over which callers of one priority are
	// spread.
	retrySpread = 0.5
)

// retryAfterOf returns when a refused caller should retry: urgent callers first, and not
// all at the same moment. random is a number from 0 to 1.
//
// Otherwise refused callers would return together and be refused together again. Callers
// try only a few times, so the second refusal is often the last.
func retryAfterOf(usual time.Duration, priority int, random float64) time.Duration {
	steps := float64(min(max(priority, 0), maxPrioritySteps))
	return time.Duration(float64(usual) * (1 + priorityStep*steps + retrySpread*random)).Round(time.Millisecond)
}
