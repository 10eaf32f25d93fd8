package memory

import (
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/platform/rating"
)

// SetFaults changes the faults; an invalid change is refused whole.
func (p *Platform) SetFaults(c fault.Change) error {
	if err := c.Validate(); err != nil {
		return invalid("%s", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settled()
	p.faults.Apply(c)
	return nil
}

// Faults returns the faults in force.
func (p *Platform) Faults() fault.Set {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.Faults()
}

// SetQuality sets the true quality of a version.
func (p *Platform) SetQuality(q rating.Quality) error {
	if err := q.Validate(); err != nil {
		return invalid("%s", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rater.Set(q)
	return nil
}
