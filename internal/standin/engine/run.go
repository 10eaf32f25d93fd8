package engine

// RunState is what became of a run.
type RunState string

// The states of a run.
const (
	RunRunning   RunState = "running"
	RunCompleted RunState = "completed"
	RunCancelled RunState = "cancelled"
	// RunFailed: the version went bad in the middle of the answer.
	RunFailed RunState = "failed"
	// RunLost: the engine crashed.
	RunLost RunState = "lost"
)

// Run is one execution that the engine has begun. The engine never
// deduplicates: an attempt that came twice has two runs.
type Run struct {
	Attempt string `json:"attempt"`
	// Key is the request's Idempotency-Key, if it bore one.
	Key     string `json:"key,omitempty"`
	Version string `json:"version"`
	// Digest is that of the prompt; it does not depend on the organisation.
	Digest string   `json:"digest"`
	State  RunState `json:"state"`
}

// RunPage is a part of the list of runs. Start the next part at After + len(Runs).
type RunPage struct {
	After int   `json:"after"`
	Total int   `json:"total"`
	Runs  []Run `json:"runs"`
}

// Counts counts what an engine has done since its start, over all crashes.
type Counts struct {
	Started   int `json:"started"`
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
	Failed    int `json:"failed"`
	Lost      int `json:"lost"`
	// Declined counts requests that were turned away and did not run.
	Declined int `json:"declined"`
	Crashes  int `json:"crashes"`
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

// runLog keeps every run. It outlives crashes, since it is the test's record
// and not the engine's.
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
	if n == none || l.runs[n].State != RunRunning {
		return
	}
	l.runs[n].State = state
	l.counts.add(state)
}

func (l *runLog) page(after int) RunPage {
	after = min(max(after, 0), len(l.runs))
	return RunPage{After: after, Total: len(l.runs), Runs: append([]Run{}, l.runs[after:]...)}
}
