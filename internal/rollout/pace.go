package rollout

import "time"

// pace is how many loads the weight store bears at one time, found by trying.
// The store's rate is known to nobody: others share it, and it changes. What
// shows it is how long loads take and how many come to nothing.
//
// A round is as many ended loads as may run at one time. While twice as many at
// a time bring clearly more a second, the number is doubled. When they do not,
// the store is the limit, more loads only wait for each other, and the number
// goes back. A round in which many come to nothing halves it.
type pace struct {
	limit int
	// since is when the limit last changed: loads begun before tell nothing of it.
	since time.Time
	// before is the limit that a trial began from, and beforeRate its loads a
	// second; zero when no trial runs.
	before     int
	beforeRate float64
	// rest is how many rounds are left until the next trial.
	rest  int
	round paceRound
}

// paceRound is what became of the loads of one round.
type paceRound struct {
	ended, vain int
	took        time.Duration
	// full says that more loads were wanted than the limit allowed.
	full bool
}

const (
	// worthwhile is the part of the loads added by a trial that must come out as
	// more loads a second.
	worthwhile = 0.25
	// restRounds is how many rounds pass after a trial that brought nothing.
	restRounds = 8
	// vainPart of a round's loads that come to nothing halves the limit.
	vainPart = 0.25
)

// done notes a load that has ended; most bounds the limit.
func (p *pace) done(began, now time.Time, most int) {
	if began.Before(p.since) {
		return
	}
	p.round.ended++
	p.round.took += now.Sub(began)
	p.turn(now, most)
}

// failed notes a load that came to nothing.
func (p *pace) failed(began, now time.Time, most int) {
	if began.Before(p.since) {
		return
	}
	p.round.vain++
	p.turn(now, most)
}

// turn ends the round when it is over.
func (p *pace) turn(now time.Time, most int) {
	r := p.round
	if r.ended+r.vain < p.limit {
		return
	}
	p.round = paceRound{}
	rate := r.rate(p.limit)
	switch {
	case float64(r.vain) >= vainPart*float64(r.ended+r.vain):
		p.set(max(1, p.limit/2), now)
		p.rest, p.before = restRounds, 0
	case p.before > 0 && rate < p.wantedRate():
		p.set(p.before, now)
		p.rest, p.before = restRounds, 0
	case p.rest > 0:
		p.rest--
	case !r.full || p.limit >= most:
		p.before = 0
	default:
		p.before, p.beforeRate = p.limit, rate
		p.set(min(2*p.limit, most), now)
	}
}

func (p *pace) set(limit int, now time.Time) { p.limit, p.since = limit, now }

// wantedRate is the least loads a second that keep what a trial added.
func (p *pace) wantedRate() float64 {
	added := float64(p.limit)/float64(p.before) - 1
	return p.beforeRate * (1 + worthwhile*added)
}

// rate is how many loads a second so many at one time bring.
func (r *paceRound) rate(limit int) float64 {
	if r.took <= 0 {
		return 0
	}
	return float64(limit) * float64(r.ended) / r.took.Seconds()
}

// mostLoads bounds loads at one time: what engines spend on loads, or lose by
// them, is at most a small part of the live ones.
func (m *Machine) mostLoads() int {
	part := int(m.settings.LoadsPart * float64(m.fleet.live))
	return max(m.settings.LoadsAtOnce, min(part, m.settings.LoadsAtMost))
}

// loadsAtOnce is how many loads may run now.
func (m *Machine) loadsAtOnce() int { return min(m.pace.limit, m.mostLoads()) }

// noteLoaded tells the pace of a load that the engine's state shows done.
func (m *Machine) noteLoaded(e *engine) {
	if h := e.hand; h.loads() && !h.noted && !h.began.IsZero() {
		h.noted = true
		m.pace.done(h.began, m.now, m.mostLoads())
	}
}

// noteVain tells the pace of a load that has to be ordered again, or was given
// up.
func (m *Machine) noteVain(e *engine) {
	if h := e.hand; h != nil && h.loads() && h.taken {
		m.pace.failed(h.began, m.now, m.mostLoads())
		h.began = m.now
	}
}
