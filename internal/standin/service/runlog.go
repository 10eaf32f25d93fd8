package service

// callKey identifies a call: runs with the same callKey are repetitions of it.
type callKey struct {
	method string
	path   string
	key    string
}

// runLog records every run. It survives crashes, because it is a record for tests and
// not part of the simulated service.
type runLog struct {
	runs   []Run
	counts map[callKey]int
	// open holds the indexes of the runs that have not ended.
	open  map[int]struct{}
	total Counts
}

func newRunLog() runLog {
	return runLog{counts: make(map[callKey]int), open: make(map[int]struct{})}
}

// start records a run. It returns the run's index and how often its call has run.
func (l *runLog) start(r Run) (n, count int) {
	r.State = RunRunning
	l.runs = append(l.runs, r)
	n = len(l.runs) - 1
	l.open[n] = struct{}{}
	k := callKey{r.Method, r.Path, r.Key}
	l.counts[k]++
	l.total.Started++
	return n, l.counts[k]
}

// end records the final state of a run. It reports false if the run has already ended.
func (l *runLog) end(n int, state RunState) bool {
	if _, ok := l.open[n]; !ok {
		return false
	}
	delete(l.open, n)
	l.runs[n].State = state
	if state == RunCompleted {
		l.total.Completed++
	} else {
		l.total.Lost++
	}
	return true
}

// loseAll ends all open runs as lost.
func (l *runLog) loseAll() {
	for n := range l.open {
		l.end(n, RunLost)
	}
}

func (l *runLog) page(after int) RunPage {
	after = min(max(after, 0), len(l.runs))
	return RunPage{After: after, Total: len(l.runs), Runs: append([]Run{}, l.runs[after:]...)}
}

// repeatedCalls returns the calls with a key that ran more than once, in the order of
// their first runs.
func (l *runLog) repeatedCalls() []RepeatedCall {
	out := []RepeatedCall{}
	seen := make(map[callKey]bool)
	for _, r := range l.runs {
		k := callKey{r.Method, r.Path, r.Key}
		if r.Key == "" || l.counts[k] < 2 || seen[k] {
			continue
		}
		seen[k] = true
		out = append(out, RepeatedCall{Method: r.Method, Path: r.Path, Key: r.Key, Count: l.counts[k]})
	}
	return out
}
