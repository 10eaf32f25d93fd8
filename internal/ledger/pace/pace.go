package pace

import "time"

const (
	// growth is by how much a refusal widens the gap.
	growth = 2
	// shrink is the part of the gap above the floor that a success leaves.
	shrink = 0.7
	// steady is the same for a pace that seeks what a store allows: it takes
	// some 35 successes to try a gap again that was refused.
	steady = 0.98
	// firstBackoff is the gap after a refusal when the floor is lower.
	firstBackoff = 20 * time.Millisecond
)

// Pace spends the writes of one writer: one each gap, and what was not spent
// lately up to a bounded burst. So over any time no more are written than one
// each gap and the burst. Refusals widen the gap and take the burst, successes
// narrow the gap down to the floor.
type Pace struct {
	floor time.Duration
	ceil  time.Duration
	gap   time.Duration
	burst int
	// due is when the next write would go if one went each gap; it may go
	// earlier by the burst.
	due     time.Time
	started bool
	// shrink is the part of the gap above the floor that a success leaves.
	shrink float64
}

// New returns a pace with the least and the widest gap.
func New(floor, ceil time.Duration) *Pace {
	return &Pace{floor: floor, ceil: max(floor, ceil), gap: floor, shrink: shrink}
}

// NewSteady returns a pace that narrows slowly: each refusal costs others, too.
func NewSteady(floor, ceil time.Duration) *Pace {
	p := New(floor, ceil)
	p.shrink = steady
	return p
}

// SetFloor changes the least gap, as the number of writers changes.
func (p *Pace) SetFloor(floor time.Duration) {
	p.floor = floor
	p.ceil = max(p.ceil, floor)
	p.gap = max(p.gap, floor)
}

// SetBurst lets that many writes go before their gap, once they are saved up.
func (p *Pace) SetBurst(burst int) { p.burst = burst }

// early is how much before its gap a write may go. After refusals there is a
// wide gap and so no more of them.
func (p *Pace) early() time.Duration { return time.Duration(p.burst) * p.floor }

// Next is when the next write may go.
func (p *Pace) Next() time.Time {
	if !p.started {
		return p.due
	}
	return p.due.Add(-p.early())
}

// Free says whether a write may go now.
func (p *Pace) Free(now time.Time) bool { return !now.Before(p.Next()) }

// Took notes that a write went. A writer that begins has nothing saved up: else
// a duty that goes round would spend a burst with each turn.
func (p *Pace) Took(now time.Time) {
	if !p.started {
		p.started = true
		p.due = now.Add(p.early())
	}
	if p.due.Before(now) {
		p.due = now
	}
	p.due = p.due.Add(p.gap)
}

// Failed notes that a write was refused or its answer lost. Without a wider
// gap, the writers of a platform that is overloaded would keep it so.
func (p *Pace) Failed(now time.Time) {
	p.started = true
	p.gap = min(max(p.gap*growth, firstBackoff), p.ceil)
	p.due = now.Add(p.gap + p.early())
}

// Succeeded notes that a write was answered.
func (p *Pace) Succeeded() {
	p.gap = p.floor + time.Duration(float64(p.gap-p.floor)*p.shrink)
}

// Gap is the present gap.
func (p *Pace) Gap() time.Duration { return p.gap }
