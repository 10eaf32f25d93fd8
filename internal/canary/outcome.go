package canary

import (
	"slices"

	"github.com/hickorybank/hickorybank/internal/revision"
)

// Outcome is what a node knows of the end of an order. Nodes exchange it for as long as the order:
// a node that starts later would take the order for one whose version is on trial.
type Outcome struct {
	Verdict Verdict
	// Written is set when the platform's table holds the verdict.
	Written bool
	// Ended are earlier orders of the service, newest last.
	Ended []EndedOrder
}

// Outcome returns the outcome of the service's newest order; it is zero if there is none.
func (c *Canary) Outcome(service string) Outcome {
	r := c.rollouts[service]
	if r == nil {
		return Outcome{}
	}
	return Outcome{Verdict: r.verdict, Written: r.written, Ended: slices.Clone(c.ended[service])}
}

// ApplyOutcome applies a peer's outcome of the order with a revision. It reports whether the
// outcome changed the verdict.
func (c *Canary) ApplyOutcome(service string, at revision.Revision, o Outcome) bool {
	r := c.rollouts[service]
	if r == nil || !r.isOf(at) {
		return false
	}
	for _, e := range o.Ended {
		c.noteEnded(service, e)
	}
	before := r.verdict
	c.ApplyVerdict(service, at, o.Verdict, o.Written)
	return r.verdict != before
}

// AwaitVerdict states that this node learned of the service's order only after its limit. The node
// has not observed the trial: it neither continues it nor decides by its own evidence.
func (c *Canary) AwaitVerdict(service string) {
	if r := c.rollouts[service]; r != nil && r.verdict == Open {
		r.awaitsVerdict = true
	}
}
