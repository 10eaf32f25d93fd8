package gateway

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/admission"
)

// budget returns the retry budget of a service; the caller holds mu.
//
// All nodes share one bound over a window. Each spends its own requests' part of the ratio
// and an equal part of the slack, without calls between nodes.
func (n *Node) budget(service string, now time.Time) *admission.WindowBudget {
	b := n.budgets[service]
	if b == nil {
		b = admission.NewWindowBudget(admission.WindowSettings{
			Ratio:  n.settings.RetryRatio * retryBudgetFraction,
			Window: n.settings.RetryWindow,
		})
		n.budgets[service] = b
	}
	b.SetSlack(n.retrySlack())
	return b
}

// retrySlack returns this node's part of the slack; the caller holds mu.
func (n *Node) retrySlack() float64 {
	return n.settings.RetrySlack * retryBudgetFraction / float64(max(len(n.roster.Alive()), 1))
}

// retryBudgetFraction is the fraction of the retry bound that is used. Requests near a
// window's edge may count in different windows at their node and at upstreams, and a
// restarted node does not know what it spent before.
const retryBudgetFraction = 0.92
