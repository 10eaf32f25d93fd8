package load

import "time"

// tally gathers the results of one class, or of all.
type tally struct {
	class    string
	sent     int64
	done     int64
	outcomes counter
	codes    counter
	checks   counter
	versions counter
	redials  int64

	cost   int64
	input  int64
	output int64

	firstToken histogram
	gap        histogram
	whole      histogram
}

func newTally(class string) *tally {
	return &tally{
		class: class, outcomes: newCounter(), codes: newCounter(), checks: newCounter(), versions: newCounter(),
		firstToken: newHistogram(), gap: newHistogram(), whole: newHistogram(),
	}
}

// check counts what a completed answer turned out to be.
func (t *tally) check(r *Result) {
	if r.completed() {
		t.checks.add(string(r.Check))
	}
}

// end counts an answer that completed in the measured time.
//
// It guards against an overload's backlog in the figures: answers to what was
// sent in that time go on long after it, and counting them would make a
// system seem faster than it is, the more the longer it lets requests wait.
func (t *tally) end(r *Result) {
	if r.completed() {
		t.done++
	}
}

// add takes a result into the figures.
func (t *tally) add(r *Result) {
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

func (t *tally) figures(curves bool, measured time.Duration) Tally {
	return Tally{
		Class: t.class, Sent: t.sent, DonePerSecond: float64(t.done) / measured.Seconds(), Outcomes: t.outcomes.counts(), Codes: t.codes.counts(), Checks: t.checks.counts(),
		Versions: t.versions.counts(), Redials: t.redials, CostMicros: t.cost, InputTokens: t.input, OutputTokens: t.output,
		FirstToken: t.firstToken.latency(curves), Gap: t.gap.latency(curves), Whole: t.whole.latency(curves),
	}
}
