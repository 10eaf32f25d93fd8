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
}

// First returns the model of the first attempt.
func (p *Policy) First(s State) string {
	if s.Attempts < 2 {
		return s.Models[len(s.Models)-1]
	}
	return s.Models[0]
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
