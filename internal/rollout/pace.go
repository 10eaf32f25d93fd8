package rollout

import "time"

// loadLimiter finds how many loads the weight store supports at one time. Its capacity is
// not known: it is shared with other readers and changes. It shows only in how long loads
// take and how many fail.
//
// A round ends after as many loads as may run at one time. The limit is doubled as long
// as that brings clearly more loads a second. If it does not, the store is saturated and
// more loads only wait for each other, so the limit returns to its previous value. A
// round in which many loads fail halves it.
type loadLimiter struct {
	limit int
	// limitChangedAt is when the limit last changed; loads that began before are not
	// counted.
	limitChangedAt time.Time
	// previousLimit is the limit before the running trial and previousRate its loads a
	// second; zero if no trial runs.
	previousLimit int
	previousRate  float64
	// cooldown is how many rounds are left until the next trial.
	cooldown int
	round    loadRound
}

// loadRound counts the loads of one round.
type loadRound struct {
	completed, failed int
	totalTime         time.Duration
	// saturated is set if more loads were needed than the limit allowed.
	saturated bool
}

const (
	// minGain is the least part of the loads added by a trial that must show as more
	// loads a second.
	minGain = 0.25
	// cooldownRounds is how many rounds pass after a trial without gain.
	cooldownRounds = 8
	// maxFailedPart is the part of failed loads in a round at which the limit is halved.
	maxFailedPart = 0.25
)

// loadCompleted counts a load that has ended; most bounds the limit.
func (p *loadLimiter) loadCompleted(began, now time.Time, most int) {
	if began.Before(p.limitChangedAt) {
		return
	}
	p.round.completed++
	p.round.totalTime += now.Sub(began)
	p.finishRound(now, most)
}

// loadFailed counts a load that failed; most bounds the limit.
func (p *loadLimiter) loadFailed(began, now time.Time, most int) {
	if began.Before(p.limitChangedAt) {
		return
	}
	p.round.failed++
	p.finishRound(now, most)
}

// finishRound adjusts the limit if the round is complete.
func (p *loadLimiter) finishRound(now time.Time, most int) {
	r := p.round
	if r.completed+r.failed < p.limit {
		return
	}
	p.round = loadRound{}
	rate := r.loadsPerSecond(p.limit)
	switch {
	case float64(r.failed) >= maxFailedPart*float64(r.completed+r.failed):
		p.setLimit(max(1, p.limit/2), now)
		p.cooldown, p.previousLimit = cooldownRounds, 0
	case p.previousLimit > 0 && rate < p.minRate():
		p.setLimit(p.previousLimit, now)
		p.cooldown, p.previousLimit = cooldownRounds, 0
	case p.cooldown > 0:
		p.cooldown--
	case !r.saturated || p.limit >= most:
		p.previousLimit = 0
	default:
		p.previousLimit, p.previousRate = p.limit, rate
		p.setLimit(min(2*p.limit, most), now)
	}
}

func (p *loadLimiter) setLimit(limit int, now time.Time) { p.limit, p.limitChangedAt = limit, now }

// minRate is the least loads a second at which the limit of a trial is kept.
func (p *loadLimiter) minRate() float64 {
	added := float64(p.limit)/float64(p.previousLimit) - 1
	return p.previousRate * (1 + minGain*added)
}

// loadsPerSecond is the rate of loads with limit of them at one time.
func (r *loadRound) loadsPerSecond(limit int) float64 {
	if r.totalTime <= 0 {
		return 0
	}
	return float64(limit) * float64(r.completed) / r.totalTime.Seconds()
}

// maxLoads bounds the loads at one time: only a small part of the live engines is slowed
// down by loads, or lost to failed ones.
func (m *Machine) maxLoads() int {
	part := int(m.settings.MaxLoadsPart * float64(m.fleet.live))
	return max(m.settings.InitialLoads, min(part, m.settings.MaxLoads))
}

// loadLimit is how many loads may run now.
func (m *Machine) loadLimit() int { return min(m.limiter.limit, m.maxLoads()) }

// recordCompletedLoad counts a load that the engine's state shows done.
func (m *Machine) recordCompletedLoad(e *engine) {
	if o := e.order; o.isLoad() && !o.recorded && !o.loadStartedAt.IsZero() {
		o.recorded = true
		m.limiter.loadCompleted(o.loadStartedAt, m.now, m.maxLoads())
	}
}

// recordFailedLoad counts a load that was acknowledged and has to be sent again or is
// given up.
func (m *Machine) recordFailedLoad(e *engine) {
	if o := e.order; o != nil && o.isLoad() && o.acknowledged {
		m.limiter.loadFailed(o.loadStartedAt, m.now, m.maxLoads())
		o.loadStartedAt = m.now
	}
}
