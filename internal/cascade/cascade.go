// Package cascade decides which of several models answers a request when the
// router may choose: a small model first, and a larger one in its place when
// the small one's own confidence is low.
//
// It is a core without I/O. What a model's confidence is worth can't be seen
// from the answers, so the threshold is a setting; docs/design/platform.md
// gives the figures that it comes from.
package cascade

import (
	"math"
	"time"
)

// Settings of a [Policy].
type Settings struct {
	// Accept is the confidence, 0 to 100, from which a small model's answer is
	// taken where upstreams have room for a larger one.
	Accept int
	// AcceptBusy is the confidence that is enough where they have not.
	AcceptBusy int
}

// Policy decides on models.
type Policy struct{ settings Settings }

// New returns a policy.
func New(s Settings) *Policy { return &Policy{s} }

// State is where a request stands.
type State struct {
	// Models are those to choose from, smallest first.
	Models []string
	// Attempts is how many attempts are left, the next one included.
	Attempts int
	// Load is the share of the usable upstreams' slots that is in use; over 1
	// attempts wait.
	Load float64
	// Left is the time until an answer is late; Largest is how long the largest model
	// probably takes until its answer begins, 0 if that is not known.
	Left, Largest time.Duration
	// Smallest is how long the smallest model probably takes; 0 if it is not known.
	Smallest time.Duration
	// Resumed is set where the caller goes on with a stream that broke.
	Resumed bool
}

// tight tells whether the largest model's answer would be in time only if it is asked
// first.
func (s *State) tight() bool {
	return s.Largest > 0 && s.Smallest > 0 && s.Largest <= s.Left && s.Smallest+s.Largest > s.Left
}

// late tells whether the largest model's answer would probably be late.
func (s *State) late() bool { return s.Largest > 0 && s.Largest > s.Left }

const (
	// calmLoad and busyLoad are the loads between which the demand on a small
	// model's confidence falls. Slots fill unevenly: at two thirds in use, one
	// upstream in twenty is full.
	calmLoad = 0.5
	busyLoad = 0.75
	// lateAccept is the confidence that is enough where a larger model's answer would be
	// late: about where an answer in time is as often good as a late one is worth.
	lateAccept = 25
)

// Accept is the confidence from which a small model's answer is taken.
//
// A larger model's run earns a good answer in place of a poor one, and takes a
// slot and reading time from others: worth it while there is room.
//
// Where that answer would be late, an unsure one in time is worth more, unless it is
// probably poor.
func (p *Policy) Accept(s State) int {
	if s.late() {
		return min(lateAccept, p.settings.AcceptBusy)
	}
	spare := min(max((busyLoad-s.Load)/(busyLoad-calmLoad), 0), 1)
	return p.settings.AcceptBusy + int(math.Round(spare*float64(p.settings.Accept-p.settings.AcceptBusy)))
}

const (
	// leastReserve is the part of the retry budget that a larger model's answer
	// leaves to attempts after a failure, where the small one's was least sure.
	leastReserve = 0.1
	// sureReserve is what it leaves more for each point of confidence: at a
	// confidence of 50 four fifths of the budget may be used. At twice as much, a
	// node that sees few requests kept poor answers on calm days too; at half as
	// much, nothing is left for failed attempts when upstreams crash.
	sureReserve = 0.002
)

// Reserve is the part of the retry budget, 0 to 1, that a larger model's answer
// in place of one with this confidence leaves to others.
//
// It guards against a budget that is spent in the order of requests when
// upstreams have crashed: answers that are probably good would be replaced, and
// those that are probably poor kept.
func Reserve(confidence int) float64 {
	return leastReserve + sureReserve*float64(min(max(confidence, 0), 100))
}

// First returns the model of the first attempt.
//
// A stream that broke was most probably the largest model's, as its answers take many times
// as long: another one would have to read the prompt first, and the pause would be late.
func (p *Policy) First(s State) string {
	if s.Attempts < 2 || s.Resumed || s.tight() {
		return s.Models[len(s.Models)-1]
	}
	return s.Models[0]
}

// Next returns the model that should answer in place of one which answers with
// this confidence; empty when the answer is taken. Attempts is how many are
// left after this one.
func (p *Policy) Next(s State, model string, confidence int) string {
	largest := s.Models[len(s.Models)-1]
	if s.Attempts < 1 || model == largest || confidence >= p.Accept(s) {
		return ""
	}
	return largest
}
