package engine

// RunState is the state of a [Run].
type RunState string

const (
	// RunRunning means that the run has not ended.
	RunRunning RunState = "running"
	// RunCompleted means that the whole answer was produced.
	RunCompleted RunState = "completed"
	// RunCancelled means that the run was cancelled by a request or for lack of readers.
	RunCancelled RunState = "cancelled"
	// RunFailed means that the version failed in the middle of the answer.
	RunFailed RunState = "failed"
	// RunLost means that the engine crashed during the run.
	RunLost RunState = "lost"
)

// Run is one execution that the engine has started. The engine does not deduplicate: an
// attempt that arrives twice has two runs.
type Run struct {
	// Attempt is the attempt ID.
	Attempt string `json:"attempt"`
	// Key is the request's Idempotency-Key, or empty.
	Key string `json:"key,omitempty"`
	// Version is the version that runs the request.
	Version string `json:"version"`
	// Digest is the [Digest] of the prompt. It does not depend on the organisation.
	Digest string `json:"digest"`
	// State is the current state.
	State RunState `json:"state"`
}

// RunPage is a part of the list of runs. The next part starts at After + len(Runs).
type RunPage struct {
	// After is the index of the first run in Runs.
	After int `json:"after"`
	// Total is the number of all runs.
	Total int `json:"total"`
	// Runs are the runs in the order of their starts.
	Runs []Run `json:"runs"`
}

// Counts are the counters of an engine since its start. Crashes do not reset them.
type Counts struct {
	// Started counts all runs.
	Started int `json:"started"`
	// Completed counts runs in state [RunCompleted].
	Completed int `json:"completed"`
	// Cancelled counts runs in state [RunCancelled].
	Cancelled int `json:"cancelled"`
	// Failed counts runs in state [RunFailed].
	Failed int `json:"failed"`
	// Lost counts runs in state [RunLost].
	Lost int `json:"lost"`
	// Declined counts requests that were refused and did not run.
	Declined int `json:"declined"`
	// Crashes counts crashes.
	Crashes int `json:"crashes"`
}

func (c *Counts) add(state RunState) {
	switch state {
	case RunRunning:
		c.Started++
	case RunCompleted:
		c.Completed++
	case RunCancelled:
		c.Cancelled++
	case RunFailed:
		c.Failed++
	case RunLost:
		c.Lost++
	}
}

// runLog records every run. It survives crashes, because it is a record for tests and
// not part of the simulated engine.
type runLog struct {
	runs   []Run
	counts Counts
}

func (l *runLog) start(r Run) int {
	r.State = RunRunning
	l.runs = append(l.runs, r)
	l.counts.add(RunRunning)
	return len(l.runs) - 1
}

func (l *runLog) end(n int, state RunState) {
	if n == noRun || l.runs[n].State != RunRunning {
		return
	}
	l.runs[n].State = state
	l.counts.add(state)
}

func (l *runLog) page(after int) RunPage {
	after = min(max(after, 0), len(l.runs))
	return RunPage{After: after, Total: len(l.runs), Runs: append([]Run{}, l.runs[after:]...)}
}
