package pace

import "time"

const (
	// backoffFactor multiplies the gap after a failure.
	backoffFactor = 2
	// recoveryFactor multiplies the excess of the gap over the minimum after a success.
	recoveryFactor = 0.7
	// steadyRecoveryFactor is the recovery factor for calls whose allowed rate is not
	// known. After a failure, about 35 successes pass before the gap is again as narrow
	// as the one that failed.
	steadyRecoveryFactor = 0.98
	// minBackoff is the least gap after a failure, if the minimum gap is lower.
	minBackoff = 20 * time.Millisecond
)

// Pace limits the writes of one writer, like a token bucket whose rate adapts. It
// allows one write per gap, and a bounded burst of writes after idle time. Over any
// span of time there are at most one write per gap plus the burst. A failure widens
// the gap and uses up the burst; a success narrows the gap towards the minimum.
type Pace struct {
	minGap time.Duration
	maxGap time.Duration
	gap    time.Duration
	burst  int
	// due is when the next write is due at one write per gap. The burst allows it
	// earlier.
	due     time.Time
	started bool
	// recovery multiplies the excess of the gap over the minimum after a success.
	recovery float64
}

// New returns a pace with a minimum and a maximum gap. It starts at the minimum.
func New(minGap, maxGap time.Duration) *Pace {
	return &Pace{minGap: minGap, maxGap: max(minGap, maxGap), gap: minGap, recovery: recoveryFactor}
}

// NewSteady returns a pace whose gap narrows slowly after a failure. It is for calls
// that share a limit with others, where each refusal costs the others, too.
func NewSteady(minGap, maxGap time.Duration) *Pace {
	p := New(minGap, maxGap)
	p.recovery = steadyRecoveryFactor
	return p
}

// SetMinGap changes the minimum gap, when the number of writers changes.
func (p *Pace) SetMinGap(minGap time.Duration) {
	p.minGap = minGap
	p.maxGap = max(p.maxGap, minGap)
	p.gap = max(p.gap, minGap)
}

// SetBurst sets how many writes beyond one per gap are allowed after idle time.
func (p *Pace) SetBurst(burst int) { p.burst = burst }

// burstAllowance returns how long before it is due a write may go. It is counted in
// minimum gaps, so it no longer matters once failures have widened the gap.
func (p *Pace) burstAllowance() time.Duration { return time.Duration(p.burst) * p.minGap }

// Next returns the earliest time at which the next write is allowed.
func (p *Pace) Next() time.Time {
	if !p.started {
		return p.due
	}
	return p.due.Add(-p.burstAllowance())
}

// Allowed reports whether a write is allowed now.
func (p *Pace) Allowed(now time.Time) bool { return !now.Before(p.Next()) }

// Sent records that a write was sent. A new writer starts without a burst: otherwise
// a duty that moves from node to node would use a burst with each move.
func (p *Pace) Sent(now time.Time) {
	if !p.started {
		p.started = true
		p.due = now.Add(p.burstAllowance())
	}
	if p.due.Before(now) {
		p.due = now
	}
	p.due = p.due.Add(p.gap)
}

// Failed records that a write was refused or its answer was lost, and widens the gap.
// At an unchanged rate, the writers would keep an overloaded platform overloaded.
func (p *Pace) Failed(now time.Time) {
	p.started = true
	p.gap = min(max(p.gap*backoffFactor, minBackoff), p.maxGap)
	p.due = now.Add(p.gap + p.burstAllowance())
}

// Succeeded records that a write was answered, and narrows the gap.
func (p *Pace) Succeeded() {
	p.gap = p.minGap + time.Duration(float64(p.gap-p.minGap)*p.recovery)
}

// Gap returns the current gap between writes.
func (p *Pace) Gap() time.Duration { return p.gap }
