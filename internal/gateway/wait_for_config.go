package gateway

import "time"

const (
	// configWaitFraction is how long a request waits for a node that has just started to
	// get its configuration, as a fraction of the caller's timeout.
	configWaitFraction = 0.1
	// maxConfigWait bounds that wait, also if the caller sets no timeout.
	maxConfigWait = 2 * time.Second
)

// waitForConfig waits until a node without state can admit the request. It returns nil if
// the request may proceed.
//
// The wait is for restarts of many nodes while the table is unavailable. Callers whose
// requests were cut retry at once and only once or twice. Without the wait, nodes that
// are ready a moment later would refuse them for good. The body is read before the wait,
// as a caller abandons a request that is not read.
func (j *job) waitForConfig() *refusal {
	until := j.start.Add(maxConfigWait)
	if j.headers.Timeout > 0 {
		until = j.start.Add(min(time.Duration(configWaitFraction*float64(j.headers.Timeout)), maxConfigWait))
	}
	j.deadline = until
	if ref := j.readBody(); ref != nil {
		return ref
	}
	for time.Now().Before(until) && pause(j.r.Context(), waitPollInterval) {
		if ref := j.admitByNewest(); ref != notReady {
			return ref
		}
	}
	return notReady
}
