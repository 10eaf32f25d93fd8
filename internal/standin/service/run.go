package service

// RunState is what became of a run.
type RunState string

// The states of a run.
const (
	RunRunning   RunState = "running"
	RunCompleted RunState = "completed"
	// RunLost: the service crashed or was closed in the middle.
	RunLost RunState = "lost"
)

// Run is one execution that the service has begun.
type Run struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	// Key is the call's Idempotency-Key, if it bore one.
	Key   string   `json:"key,omitempty"`
	State RunState `json:"state"`
}

// RunPage is a part of the list of runs. Start the next part at After + len(Runs).
type RunPage struct {
	After int   `json:"after"`
	Total int   `json:"total"`
	Runs  []Run `json:"runs"`
}

// Double is a call with a key that ran more than once.
type Double struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Count  int    `json:"count"`
}

// Counts counts what a service has done since its start, over all crashes.
type Counts struct {
	Started   int `json:"started"`
	Completed int `json:"completed"`
	Lost      int `json:"lost"`
	// LostAnswers counts completed runs whose answer was not sent.
	LostAnswers int `json:"lost_answers"`
	// Declined counts calls that were turned away and did not run.
	Declined int `json:"declined"`
	Crashes  int `json:"crashes"`
}
