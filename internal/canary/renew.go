package canary

import (
	"slices"

	"github.com/hickorybank/hickorybank/internal/revision"
)

// Renew gives the known order of a service another revision, if o is the same order: operators
// write their orders again after the platform's table has lost them. Its evidence and verdict stand.
// Renew reports whether o is the same order and newer. The table may have lost the verdict, so
// it counts as not recorded.
func (c *Canary) Renew(o Order) bool {
	r := c.rollouts[o.Service]
	if r == nil || r.order.Target != o.Target || r.order.Limit != o.Limit || r.order.Revision >= o.Revision {
		return false
	}
	r.former = append(r.former, r.order.Revision)
	r.order.Revision, r.own.Revision = o.Revision, o.Revision
	r.written = false
	return true
}

// isOf reports whether a revision is the order's, now or formerly.
func (r *rollout) isOf(t revision.Revision) bool {
	return t == r.order.Revision || slices.Contains(r.former, t)
}
