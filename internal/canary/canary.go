package canary

import (
	"github.com/hickorybank/hickorybank/internal/revision"
	"slices"
	"time"
)

// Canary holds the newest order of each service on one node. It is not safe for
// concurrent use.
type Canary struct {
	settings Settings
	node     string
	born     int64
	rollouts map[string]*rollout
	delays   map[delayKey]*delayMean
	pins     pins
	// rolledBack lists the versions that were rolled back, by service.
	rolledBack map[string][]string
}

// New returns the Canary of one run of a node; born tells the runs of a node apart.
func New(s Settings, node string, born int64) *Canary {
	return &Canary{settings: s, node: node, born: born, rollouts: map[string]*rollout{}, delays: map[delayKey]*delayMean{},
		rolledBack: map[string][]string{},
		pins:       pins{ttl: s.Session + pinSpread, lastSeen: map[uint64]time.Time{}}}
}

// AddOrder adds an order that began at started. It reports whether the order is newer than
// the known one.
func (c *Canary) AddOrder(o Order, started time.Time) bool {
	current := c.rollouts[o.Service]
	if current != nil && current.order.Revision >= o.Revision {
		return false
	}
	if current != nil && current.verdict == RolledBack {
		c.rolledBack[o.Service] = append(c.rolledBack[o.Service], current.order.Target)
	}
	c.rolledBack[o.Service] = slices.DeleteFunc(c.rolledBack[o.Service], func(v string) bool { return v == o.Target })
	c.rollouts[o.Service] = &rollout{
		order: o, started: started,
		own:    Tally{Service: o.Service, Revision: o.Revision, Node: c.node, Born: c.born},
		counts: map[string]*RouteCount{}, peers: map[runKey]Tally{}, tests: map[string]*evidence{},
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

// CountSent counts an attempt that is sent to an upstream of a version; first is set for the
// first attempt of a request.
func (c *Canary) CountSent(service, version string, first bool) {
	r := c.rollouts[service]
	if r == nil || r.verdict != Open {
		return
	}
	if first {
		r.own.Requests++
	}
	if version == r.order.Target {
		r.own.Exposed++
	} else {
		r.own.OldInFlight++
	}
}

// CountEnded counts an attempt that no longer runs; revision is that of the order at the
// time it was sent.
func (c *Canary) CountEnded(service, version string, at revision.Revision) {
	r := c.rollouts[service]
	if r == nil || !r.isOf(at) || version == r.order.Target {
		return
	}
	r.own.OldInFlight = max(r.own.OldInFlight-1, 0)
}

// Revision returns the revision of the service's newest order, 0 if there is none.
func (c *Canary) Revision(service string) revision.Revision {
	if r := c.rollouts[service]; r != nil {
		return r.order.Revision
	}
	return 0
}

// CountAnswer counts an answer as good or bad. An answer is bad if it failed or was far
// slower than usual.
func (c *Canary) CountAnswer(a Answer) {
	r := c.rollouts[a.Service]
	onNew := r != nil && a.Version == r.order.Target
	key := delayKey{a.Route, a.Model}
	p := c.delays[key]
	if p == nil {
		p = &delayMean{}
		c.delays[key] = p
	}
	slow := a.EventDelay > 0 && p.slow(a.EventDelay)
	if a.EventDelay > 0 && !onNew && !a.Failed {
		p.add(a.EventDelay)
	}
	if r == nil {
		return
	}
	bad := int64(0)
	if a.Failed || slow {
		bad = 1
	}
	count := r.count(a.Route)
	if onNew {
		count.New++
		count.NewBad += bad
	} else {
		count.Base++
		count.BaseBad += bad
	}
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
