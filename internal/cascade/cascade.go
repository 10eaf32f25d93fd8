// Package cascade decides which of several models answers a request when the
// router may choose: a small model first, and a larger one in its place when
// the small one's own confidence is low.
//
// It is a core without I/O. What a model's confidence is worth can't be seen
// from the answers, so the threshold is a setting; docs/design/platform.md
// gives the figures that it comes from.
package cascade

// Settings of a [Policy].
type Settings struct {
	// Accept is the confidence, 0 to 100, from which a small model's answer is
	// taken.
	Accept int
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
	// Free is the part of the retry budget that is left, 0 to 1.
	Free float64
	// Queue is the work that waits at the upstream for the largest model, in
	// mean attempts.
	Queue float64
	// Draw is a number from 0 to 1, drawn for the request.
	Draw float64
}

const (
	// scarce is the part of the retry budget below which some requests are
	// asked of the largest model at once.
	scarce = 0.3
	// calmQueue is the queue up to which they are: beyond it, the largest
	// model's work would lengthen the queue that it waits in.
	calmQueue = 1.0
)

// First returns the model of the first attempt.
func (p *Policy) First(s State) string {
	if s.Attempts < 2 || p.direct(s) {
		return s.Models[len(s.Models)-1]
	}
	return s.Models[0]
}

// direct tells whether the largest model should answer at once: a small one's
// unsure answer could not be replaced, as failures elsewhere have used the
// retry budget up.
func (p *Policy) direct(s State) bool {
	return s.Free < scarce && s.Queue <= calmQueue && s.Draw >= s.Free/scarce
}

// Next returns the model that should answer in place of one which answers with
// this confidence; empty when the answer is taken. Attempts is how many are
// left after this one.
func (p *Policy) Next(s State, model string, confidence int) string {
	largest := s.Models[len(s.Models)-1]
	if s.Attempts < 1 || model == largest || confidence >= p.settings.Accept {
		return ""
	}
	return largest
}
