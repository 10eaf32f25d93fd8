package gateway

import "time"

const (
	// awaitPart is the part of a caller's time that its request waits for a
	// node which has just started to learn its configuration.
	awaitPart = 0.1
	// awaitMost bounds that wait, also where the caller names no time.
	awaitMost = 2 * time.Second
)

// waitForConfig lets a request wait for a node that knows nothing yet. It returns
// nil when the request may go on.
//
// It guards against restarts of many nodes while the table is away: callers
// whose requests were cut come back at once, try only once or twice, and would
// be turned away for good by nodes that know all they need a moment later. The
// request is read first: a caller gives one up that is not read.
func (j *job) waitForConfig() *refusal {
	until := j.start.Add(awaitMost)
	if j.ask.Time > 0 {
		until = j.start.Add(min(time.Duration(awaitPart*float64(j.ask.Time)), awaitMost))
	}
	j.deadline = until
	if ref := j.readBody(); ref != nil {
		return ref
	}
	for time.Now().Before(until) && pause(j.r.Context(), waitStep) {
		if ref := j.admit(); ref != notYet {
			return ref
		}
	}
	return notYet
}
