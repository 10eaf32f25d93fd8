package service

// RunState is the state of a [Run].
type RunState string

const (
	// RunRunning means that the run has not ended.
	RunRunning RunState = "running"
	// RunCompleted means that the run ended normally.
	RunCompleted RunState = "completed"
	// RunLost means that the service crashed or was closed during the run.
	RunLost RunState = "lost"
)

// Run is one execution that the service has started.
type Run struct {
	// Method is the call's HTTP method.
	Method string `json:"method"`
	// Path is the call's path.
	Path string `json:"path"`
	// Key is the call's Idempotency-Key, or empty.
	Key string `json:"key,omitempty"`
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

// RepeatedCall is a call with an Idempotency-Key that ran more than once.
type RepeatedCall struct {
	// Method is the call's HTTP method.
	Method string `json:"method"`
	// Path is the call's path.
	Path string `json:"path"`
	// Key is the call's Idempotency-Key.
	Key string `json:"key"`
	// Count is the number of its runs, at least 2.
	Count int `json:"count"`
}

// Counts are the counters of a service since its start. Crashes do not reset them.
type Counts struct {
	// Started counts all runs.
	Started int `json:"started"`
	// Completed counts runs in state [RunCompleted].
	Completed int `json:"completed"`
	// Lost counts runs in state [RunLost].
	Lost int `json:"lost"`
	// LostAnswers counts completed runs whose answer a fault lost.
	LostAnswers int `json:"lost_answers"`
	// Declined counts calls that were refused and did not run.
	Declined int `json:"declined"`
	// Crashes counts crashes.
	Crashes int `json:"crashes"`
}
