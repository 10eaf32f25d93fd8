package load

import "time"

// classRecorder collects the results of one class, or of all classes of a lane.
type classRecorder struct {
	class     string
	sent      int64
	completed int64
	outcomes  counter
	codes     counter
	checks    counter
	versions  counter
	redials   int64

	cost   int64
	input  int64
	output int64

	firstToken histogram
	gap        histogram
	whole      histogram
}

func newTally(class string) *classRecorder {
	return &classRecorder{
		class: class, outcomes: newCounter(), codes: newCounter(), checks: newCounter(), versions: newCounter(),
		firstToken: newHistogram(), gap: newHistogram(), whole: newHistogram(),
	}
}

// addCheck counts the check of a completed answer.
func (t *classRecorder) addCheck(r *Result) {
	if r.completed() {
		t.checks.add(string(r.Check))
	}
}

// addCompletion counts an answer that completed within the measured time.
//
// It keeps the backlog of an overload out of the throughput. Answers to requests of the
// measured time arrive long after it. Counting them overstates the throughput, the more
// so the longer requests wait.
func (t *classRecorder) addCompletion(r *Result) {
	if r.completed() {
		t.completed++
	}
}

// add records the result of a request that started after the warm-up.
func (t *classRecorder) add(r *Result) {
	t.sent++
	t.outcomes.add(string(r.Outcome))
	t.codes.add(r.Code)
	t.redials += int64(r.Redials)
	if !r.completed() {
		return
	}
	t.versions.add(r.Version)
	t.cost += r.Cost
	t.input += int64(r.InputTokens)
	t.output += int64(r.OutputTokens)
	t.whole.add(r.Ended - r.Job.At)
	if r.Job.Work.Stream {
		t.firstToken.add(r.First - r.Job.At)
	}
	for _, gap := range r.Gaps {
		if r.Job.Work.Stream {
			t.gap.add(gap)
		}
	}
}

func (t *classRecorder) report(curves bool, window time.Duration) ClassReport {
	return ClassReport{
		Class: t.class, Sent: t.sent, DonePerSecond: float64(t.completed) / window.Seconds(), Outcomes: t.outcomes.counts(), Codes: t.codes.counts(), Checks: t.checks.counts(),
		Versions: t.versions.counts(), Redials: t.redials, CostMicros: t.cost, InputTokens: t.input, OutputTokens: t.output,
		FirstToken: t.firstToken.latency(curves), Gap: t.gap.latency(curves), Whole: t.whole.latency(curves),
	}
}
