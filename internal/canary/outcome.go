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
	// RolledBack are the versions that earlier orders of the service rolled back, newest last.
	RolledBack []string
}

// maxRolledBack bounds the rolled-back versions that are kept for each service.
const maxRolledBack = 8

// Outcome returns the outcome of the service's newest order; it is zero if there is none.
func (c *Canary) Outcome(service string) Outcome {
	r := c.rollouts[service]
	if r == nil {
		return Outcome{}
	}
	return Outcome{Verdict: r.verdict, Written: r.written, RolledBack: slices.Clone(c.rolledBack[service])}
}

// ApplyOutcome applies a peer's outcome of the order with a revision. It reports whether the
// outcome changed the verdict.
func (c *Canary) ApplyOutcome(service string, at revision.Revision, o Outcome) bool {
	r := c.rollouts[service]
	if r == nil || !r.isOf(at) {
		return false
	}
	for _, version := range o.RolledBack {
		if version != r.order.Target {
			c.addRolledBack(service, version)
		}
	}
	before := r.verdict
	c.ApplyVerdict(service, at, o.Verdict, o.Written)
	return r.verdict != before
}

// addRolledBack adds a version that was rolled back.
func (c *Canary) addRolledBack(service, version string) {
	versions := c.rolledBack[service]
	if slices.Contains(versions, version) {
		return
	}
	versions = append(versions, version)
	c.rolledBack[service] = versions[max(len(versions)-maxRolledBack, 0):]
}

// AwaitVerdict states that this node learned of the service's order only after its limit. The node
// has not observed the trial: it neither continues it nor decides by its own evidence.
func (c *Canary) AwaitVerdict(service string) {
	if r := c.rollouts[service]; r != nil && r.verdict == Open {
		r.awaitsVerdict = true
	}
}
