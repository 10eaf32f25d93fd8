package choice

import "time"

// Chooser is the policy in use. Its methods are safe for concurrent use.
type Chooser struct {
	settings Settings
}

// New returns a chooser that has seen nothing yet.
func New(s Settings) *Chooser { return &Chooser{settings: s} }

// Choose returns the plan for a request.
func (c *Chooser) Choose(req Request) Plan {
	if len(req.Versions) == 0 {
		return Plan{Refusal: RefuseNoVersion}
	}
	return Plan{First: req.Versions[0]}
}

// Observe takes in a rating.
func (c *Chooser) Observe(o Observation) {}

// ObserveAnswer takes in that an attempt was answered.
func (c *Chooser) ObserveAnswer(a Answer) {}

// ObserveError takes in that an engine said that the version failed: not a
// refusal, a cancel, a lost connection or a crash, which are the upstream's
// and would come from all of its requests at once.
func (c *Chooser) ObserveError(version, class string, now time.Time) {}

// ObserveRatingFailure takes in that the rating service did not answer.
func (c *Chooser) ObserveRatingFailure(now time.Time) {}

// Summary returns what this node has seen, for its peers.
func (c *Chooser) Summary() Summary {
	return Summary{Node: c.settings.Node, Epoch: c.settings.Epoch}
}

// Merge takes in a peer's summary.
func (c *Chooser) Merge(s Summary) {}

// NewHolds returns the holds that this node has raised since the last call,
// to be told to peers and recorded.
func (c *Chooser) NewHolds() []Hold { return nil }

// ApplyHold takes in a hold, or the lifting of one, from a peer or the table.
func (c *Chooser) ApplyHold(h Hold) {}
