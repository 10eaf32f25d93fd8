package memory

import (
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/platform/rating"
)

// SetFaults replaces the faults of the services that the change sets. An invalid
// change is refused and changes nothing.
func (p *Platform) SetFaults(c fault.Change) error {
	if err := c.Validate(); err != nil {
		return invalid("%s", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyDueWrites()
	p.faults.Apply(c)
	return nil
}

// Faults returns the current faults of all services.
func (p *Platform) Faults() fault.Set {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.Faults()
}

// SetQuality sets the mean score that the rating gives to a version. It refuses an
// invalid quality.
func (p *Platform) SetQuality(q rating.Quality) error {
	if err := q.Validate(); err != nil {
		return invalid("%s", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rater.Set(q)
	return nil
}
