package canary

import (
	"slices"
	"time"
)

// Canary holds the orders of all services on one node.
type Canary struct {
	settings Settings
	node     string
	born     int64
	rollouts map[string]*rollout
	paces    map[paceKey]*pace
	pins     pins
	// bad are the versions that were rolled back, by service.
	bad map[string][]string
}

// New returns a canary of one run of a node.
func New(s Settings, node string, born int64) *Canary {
	return &Canary{settings: s, node: node, born: born, rollouts: map[string]*rollout{}, paces: map[paceKey]*pace{},
		bad:  map[string][]string{},
		pins: pins{keep: s.Session + pinNews, seen: map[uint64]time.Time{}}}
}

// Take takes an order; started is when it began. It reports whether the order
// is new.
func (c *Canary) Take(o Order, started time.Time) bool {
	known := c.rollouts[o.Service]
	if known != nil && known.order.Revision >= o.Revision {
		return false
	}
	if known != nil && known.verdict == RolledBack {
		c.bad[o.Service] = append(c.bad[o.Service], known.order.Target)
	}
	c.bad[o.Service] = slices.DeleteFunc(c.bad[o.Service], func(v string) bool { return v == o.Target })
	c.rollouts[o.Service] = &rollout{
		order: o, started: started,
		own:    Tally{Service: o.Service, Revision: o.Revision, Node: c.node, Born: c.born},
		counts: map[string]*RouteCount{}, peers: map[runKey]Tally{}, tests: map[string]*evidence{},
	}
	return true
}

// Decide takes a verdict that was read or made elsewhere.
func (c *Canary) Decide(service string, revision uint64, v Verdict, written bool) bool {
	r := c.rollouts[service]
	if r == nil || r.order.Revision != revision || v == Open {
		return false
	}
	changed := r.verdict != v
	// A verdict in the table is final; one that is not yet there gives way.
	if r.verdict == Open || written && !r.written {
		r.verdict = v
	}
	r.written = r.written || written
	return changed
}

// Sent counts an attempt that goes to an upstream of a version.
func (c *Canary) Sent(service, version string, first bool) {
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

// Ended counts an attempt that no longer runs.
func (c *Canary) Ended(service, version string, revision uint64) {
	r := c.rollouts[service]
	if r == nil || r.order.Revision != revision || version == r.order.Target {
		return
	}
	r.own.OldInFlight = max(r.own.OldInFlight-1, 0)
}

// Revision returns the revision of the service's newest order, 0 for none.
func (c *Canary) Revision(service string) uint64 {
	if r := c.rollouts[service]; r != nil {
		return r.order.Revision
	}
	return 0
}

// Answered counts an answer.
func (c *Canary) Answered(a Answer) {
	r := c.rollouts[a.Service]
	onNew := r != nil && a.Version == r.order.Target
	key := paceKey{a.Route, a.Model}
	p := c.paces[key]
	if p == nil {
		p = &pace{}
		c.paces[key] = p
	}
	slow := a.Pace > 0 && p.slow(a.Pace)
	if a.Pace > 0 && !onNew && !a.Failed {
		p.add(a.Pace)
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

// Open tells whether the service has an order under way.
func (c *Canary) Open(service string) bool {
	r := c.rollouts[service]
	return r != nil && r.verdict == Open
}

// Target returns the version that the newest order of a service names.
func (c *Canary) Target(service string) string {
	if r := c.rollouts[service]; r != nil {
		return r.order.Target
	}
	return ""
}
