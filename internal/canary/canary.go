package canary

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/revision"
)

// Canary holds the newest order of each service on one node. It is not safe for
// concurrent use.
type Canary struct {
	settings   Settings
	node       string
	born       int64
	rollouts   map[string]*rollout
	references references
	pins       pins
	// ended lists earlier orders by service, the newest last.
	ended map[string][]EndedOrder
}

// New returns the Canary of one run of a node; born tells the runs of a node apart.
func New(s Settings, node string, born int64) *Canary {
	return &Canary{settings: s, node: node, born: born, rollouts: map[string]*rollout{}, references: references{},
		ended: map[string][]EndedOrder{},
		pins:  pins{ttl: s.Session + pinSpread, lastSeen: map[uint64]time.Time{}}}
}

// AddOrder adds an order that began at started. It reports whether the order is newer than
// the known one.
func (c *Canary) AddOrder(o Order, started time.Time) bool {
	current := c.rollouts[o.Service]
	if current != nil && current.order.Revision >= o.Revision {
		return false
	}
	if current != nil {
		c.noteEnded(o.Service, EndedOrder{current.order.Target, current.order.Revision, current.verdict, current.written})
	}
	c.rollouts[o.Service] = &rollout{
		order: o, started: started,
		own:    Tally{Service: o.Service, Revision: o.Revision, Node: c.node, Born: c.born},
		counts: map[string]*RouteCount{}, peers: map[runKey]Tally{}, tests: map[string]*routeEvidence{},
		running: map[*Attempt]struct{}{}, cut: map[string]*[measures]DelayCounts{},
	}
	return true
}

// ApplyVerdict applies a verdict that was read from the table or reached elsewhere; written is
// set if the table holds it. It reports whether the verdict differs from the known one.
func (c *Canary) ApplyVerdict(service string, at revision.Revision, v Verdict, written bool) bool {
	r := c.rollouts[service]
	if r == nil || !r.isOf(at) || v == Open {
		return false
	}
	written = written && at == r.order.Revision // the table may have lost an earlier record
	changed := r.verdict != v
	// A verdict in the table is final. One that is not recorded yet is overridden by it.
	if r.verdict == Open || written && !r.written {
		r.verdict = v
	}
	r.written = r.written || written
	return changed
}

// Revision returns the revision of the service's newest order, 0 if there is none.
func (c *Canary) Revision(service string) revision.Revision {
	if r := c.rollouts[service]; r != nil {
		return r.order.Revision
	}
	return 0
}

// Open reports whether the service has an order without a verdict.
func (c *Canary) Open(service string) bool {
	r := c.rollouts[service]
	return r != nil && r.verdict == Open
}

// Target returns the version that the service's newest order names, empty if there is
// none.
func (c *Canary) Target(service string) string {
	if r := c.rollouts[service]; r != nil {
		return r.order.Target
	}
	return ""
}
