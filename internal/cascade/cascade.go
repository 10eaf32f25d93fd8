// Package cascade decides which of several models answers a request when the router may
// choose: the smallest model first, and the largest one instead when the small one's own
// confidence is low.
//
// It does no I/O. The value of a model's confidence cannot be derived from the answers,
// so the threshold is a setting; docs/design/platform.md gives the figures behind it.
package cascade

import (
	"math"
	"time"
)

// Settings holds the confidence thresholds of a [Policy].
type Settings struct {
	// Accept is the confidence, 0 to 100, from which a small model's answer is accepted
	// while upstreams have capacity for a larger one.
	Accept int
	// AcceptBusy is the confidence that suffices when they have none.
	AcceptBusy int
	// AcceptFull is the confidence that suffices when requests queue at the upstreams; 0
	// for the same as AcceptBusy.
	AcceptFull int
}

// Policy decides which model answers a request. It keeps no state between calls.
type Policy struct{ settings Settings }

// New returns a policy with the given settings.
func New(s Settings) *Policy { return &Policy{s} }

// State describes a request at the time of a decision.
type State struct {
	// Models are the candidates, smallest first.
	Models []string
	// Attempts is the number of attempts left, the next one included.
	Attempts int
	// Load is the share of the usable upstreams' slots in use; above 1, attempts are
	// queued.
	Load float64
	// Left is the time until an answer is late. Largest is the expected time until the
	// largest model's answer begins, 0 if unknown.
	Left, Largest time.Duration
	// Smallest is the expected time the smallest model takes, 0 if unknown.
	Smallest time.Duration
	// Resumed is set when the caller resumes a stream that broke.
	Resumed bool
}

// onlyLargestFirstInTime reports whether the largest model's answer is in time only if
// that model runs first.
func (s *State) onlyLargestFirstInTime() bool {
	return s.Largest > 0 && s.Smallest > 0 && s.Largest <= s.Left && s.Smallest+s.Largest > s.Left
}

// largestLate reports whether the largest model's answer would probably be late.
func (s *State) largestLate() bool { return s.Largest > 0 && s.Largest > s.Left }

const (
	// acceptFullLoad and acceptBusyLoad bound the loads over which the required
	// confidence falls from Accept to AcceptBusy. Slots fill unevenly: with two thirds in
	// use, one upstream in twenty is full.
	acceptFullLoad = 0.5
	acceptBusyLoad = 0.75
	// queueLoad and overloadLoad bound the loads over which it falls from AcceptBusy to
	// AcceptFull: from the load at which the fuller half of the upstreams queues requests to
	// that at which nearly all do.
	queueLoad    = 0.85
	overloadLoad = 1.25
	// lateAccept is the confidence that suffices when a larger model's answer would be
	// late: the chance that the answer is good then about equals the value of a late one.
	lateAccept = 25
)

// Accept returns the confidence, 0 to 100, from which a small model's answer is accepted.
//
// Running a larger model replaces a poor answer by a good one, but takes a slot and
// prefill time from other requests, which pays only while there is spare capacity. Once
// requests queue, each run of a larger model makes several others late, so that only
// answers which are probably poor are replaced.
//
// Where the larger model's answer would be late, an uncertain answer in time is worth
// more, unless it is probably poor.
func (p *Policy) Accept(s State) int {
	if s.largestLate() {
		return min(lateAccept, p.settings.AcceptBusy)
	}
	if s.Load > queueLoad && p.settings.AcceptFull > 0 {
		queued := min((s.Load-queueLoad)/(overloadLoad-queueLoad), 1)
		return p.settings.AcceptBusy - int(math.Round(queued*float64(p.settings.AcceptBusy-p.settings.AcceptFull)))
	}
	spare := min(max((acceptBusyLoad-s.Load)/(acceptBusyLoad-acceptFullLoad), 0), 1)
	return p.settings.AcceptBusy + int(math.Round(spare*float64(p.settings.Accept-p.settings.AcceptBusy)))
}

const (
	// leastReserve is the share of the retry budget that replacing an answer of
	// confidence 0 leaves for attempts after a failure.
	leastReserve = 0.1
	// reservePerPoint is the additional share reserved per point of confidence: at a
	// confidence of 50, four fifths of the budget may be used. At twice this value, a
	// node with few requests also kept poor answers on days without faults. At half of
	// it, nothing is left for failed attempts when upstreams crash.
	reservePerPoint = 0.002
)

// Reserve returns the share of the retry budget, 0 to 1, that must stay available to
// other attempts when a larger model replaces an answer of this confidence.
//
// Without it, the budget is spent in the order of requests after upstreams have crashed:
// answers that are probably good are replaced, and answers that are probably poor are
// kept.
func Reserve(confidence int) float64 {
	return leastReserve + reservePerPoint*float64(min(max(confidence, 0), 100))
}

// First returns the model of the first attempt.
//
// A broken stream most probably belonged to the largest model, since its answers take
// many times as long. Another model would have to read the prompt first, and the stream
// would resume too late.
func (p *Policy) First(s State) string {
	if s.Attempts < 2 || s.Resumed || s.onlyLargestFirstInTime() {
		return s.Models[len(s.Models)-1]
	}
	return s.Models[0]
}

// Next returns the model that replaces one which answered with this confidence, or ""
// when the answer is accepted. s.Attempts is the number of attempts left after that
// answer.
func (p *Policy) Next(s State, model string, confidence int) string {
	largest := s.Models[len(s.Models)-1]
	if s.Attempts < 1 || model == largest || confidence >= p.Accept(s) {
		return ""
	}
	return largest
}

// AcceptedForLoad reports whether Next accepts an answer only because upstreams have no
// capacity for a larger model.
func (p *Policy) AcceptedForLoad(s State, model string, confidence int) bool {
	idle := s
	idle.Load = 0
	return p.Next(s, model, confidence) == "" && p.Next(idle, model, confidence) != ""
}
