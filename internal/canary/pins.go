package canary

import "time"

// Pin is a session that was recently served by the old version and stays there during the
// trial.
type Pin struct {
	// Session is the hash of the session.
	Session uint64
	// Age is the time since its last request.
	Age time.Duration
}

// pins are the recent sessions of the hash range that goes to the new version during a
// trial.
//
// They prevent a session from changing its version while it is under way. Any node may
// get its next request, so all nodes learn of such sessions before the trial begins.
type pins struct {
	// ttl is how long a session is kept: the longest pause within a session, plus the
	// time until a node learns that another one has just served it.
	ttl      time.Duration
	lastSeen map[uint64]time.Time
}

// maxPins is the number of sessions beyond which expired ones are removed at once.
const maxPins = 20000

func (p *pins) add(session uint64, at time.Time) {
	if at.After(p.lastSeen[session]) {
		p.lastSeen[session] = at
	}
	if len(p.lastSeen) > maxPins {
		p.removeExpired(at)
	}
}

func (p *pins) contains(session uint64, now time.Time) bool {
	at, ok := p.lastSeen[session]
	return ok && now.Sub(at) <= p.ttl
}

func (p *pins) removeExpired(now time.Time) {
	for s, at := range p.lastSeen {
		if now.Sub(at) > p.ttl {
			delete(p.lastSeen, s)
		}
	}
}

// Pins returns the sessions that stay on the old version, to be sent to peers. It returns
// nil unless some service has a trial under way.
func (c *Canary) Pins(now time.Time) []Pin {
	if !c.hasTrial() {
		return nil
	}
	c.pins.removeExpired(now)
	all := make([]Pin, 0, len(c.pins.lastSeen))
	for s, at := range c.pins.lastSeen {
		all = append(all, Pin{Session: s, Age: now.Sub(at)})
	}
	return all
}

// MergePins adds the sessions that a peer has seen.
func (c *Canary) MergePins(received []Pin, now time.Time) {
	for _, p := range received {
		c.pins.add(p.Session, now.Add(-p.Age))
	}
}

// hasTrial reports whether some order is open and its sessions are not shifted yet.
func (c *Canary) hasTrial() bool {
	for _, r := range c.rollouts {
		if r.verdict == Open && r.shiftedAt.IsZero() && !r.awaitsVerdict {
			return true
		}
	}
	return false
}

// Settling reports whether some order was given so recently that nodes must exchange their
// sessions more often: they learn of them before the trial begins.
func (c *Canary) Settling(now time.Time) bool {
	for _, r := range c.rollouts {
		if r.verdict == Open && now.Sub(r.started) < 2*trialDelay {
			return true
		}
	}
	return false
}

// Soaking reports whether all sessions go to a version that has no verdict yet. Nodes exchange their
// counts often then: what has not arrived at the end does not count.
func (c *Canary) Soaking() bool {
	for _, r := range c.rollouts {
		if r.verdict == Open && !r.awaitsVerdict && !r.shiftedAt.IsZero() {
			return true
		}
	}
	return false
}
