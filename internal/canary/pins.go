package canary

import "time"

// Pin is a session that has lately been served by the old version and stays
// there while the new one is on trial.
type Pin struct {
	Session uint64
	// Age is how long ago its last request was.
	Age time.Duration
}

// pins are the sessions of the canary's share that were seen lately.
//
// They guard against a session that changes its version in the middle: a
// request of it may come to any node, so sessions that were under way before
// the trial are told to all nodes before it begins.
type pins struct {
	// keep is how long a session is remembered: the longest pause within one,
	// and until a node has heard that another has just served it.
	keep time.Duration
	seen map[uint64]time.Time
}

// mostPins bounds the sessions remembered; beyond it the oldest are swept out.
const mostPins = 20000

func (p *pins) note(session uint64, at time.Time) {
	if at.After(p.seen[session]) {
		p.seen[session] = at
	}
	if len(p.seen) > mostPins {
		p.sweep(at)
	}
}

func (p *pins) has(session uint64, now time.Time) bool {
	at, ok := p.seen[session]
	return ok && now.Sub(at) <= p.keep
}

func (p *pins) sweep(now time.Time) {
	for s, at := range p.seen {
		if now.Sub(at) > p.keep {
			delete(p.seen, s)
		}
	}
}

// Pins returns the sessions that stay on the old version, while an order is
// under way.
func (c *Canary) Pins(now time.Time) []Pin {
	if !c.trial() {
		return nil
	}
	c.pins.sweep(now)
	all := make([]Pin, 0, len(c.pins.seen))
	for s, at := range c.pins.seen {
		all = append(all, Pin{Session: s, Age: now.Sub(at)})
	}
	return all
}

// TakePins takes what a peer has seen.
func (c *Canary) TakePins(told []Pin, now time.Time) {
	for _, p := range told {
		c.pins.note(p.Session, now.Add(-p.Age))
	}
}

// trial tells whether some order is still in its watch.
func (c *Canary) trial() bool {
	for _, r := range c.rollouts {
		if r.verdict == Open && r.grown.IsZero() {
			return true
		}
	}
	return false
}

// Settling tells whether some order has not begun its trial yet: nodes then
// tell each other their sessions more often.
func (c *Canary) Settling(now time.Time) bool {
	for _, r := range c.rollouts {
		if r.verdict == Open && now.Sub(r.started) < 2*pinHold {
			return true
		}
	}
	return false
}
