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

// Pace is the gap between the writes of one writer. A write after a pause goes
// at once; refusals widen the gap, successes narrow it down to the floor.
type Pace struct {
	floor time.Duration
	ceil  time.Duration
	gap   time.Duration
	next  time.Time
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

// Next is when the next write may go.
func (p *Pace) Next() time.Time { return p.next }

// Free says whether a write may go now.
func (p *Pace) Free(now time.Time) bool { return !now.Before(p.next) }

// Took notes that a write went.
func (p *Pace) Took(now time.Time) { p.next = now.Add(p.gap) }

// Failed notes that a write was refused or its answer lost. Without a wider
// gap, the writers of a platform that is overloaded would keep it so.
func (p *Pace) Failed(now time.Time) {
	p.gap = min(max(p.gap*growth, firstBackoff), p.ceil)
	p.next = now.Add(p.gap)
}

// Succeeded notes that a write was answered.
func (p *Pace) Succeeded() {
	p.gap = p.floor + time.Duration(float64(p.gap-p.floor)*p.shrink)
}

// Gap is the present gap.
func (p *Pace) Gap() time.Duration { return p.gap }
