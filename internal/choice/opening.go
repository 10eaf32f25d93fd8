package choice

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

const (
	// openRatings is how many ratings of a staged version are enough to lift
	// its cap, and openShare the share of the cap that is enough when the
	// cap is smaller.
	openRatings = 20
	openShare   = 0.5
	// openQuality is the share of the operators' belief that the ratings
	// must reach.
	openQuality = 0.85
)

// ReadyToOpen says that enough ratings of a staged version are in and that
// they are good, so that its cap need bind no more.
func (c *Chooser) ReadyToOpen(version string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view == nil {
		return false
	}
	i, ok := c.view.index[version]
	if !ok || !c.view.snapshot.Preset().RolloutsMove {
		return false
	}
	v := &c.view.versions[i]
	if v.state.held() || v.state.suspicion() >= alarm/3 || c.ratings.down() {
		return false
	}
	var all quality.Moments
	for _, class := range v.state.classes {
		cell := c.cell(quality.Key{Version: version, Class: class}, now)
		all.Weight += cell.Long.Weight
		all.Sum += cell.Long.Sum
	}
	enough := min(openRatings, openShare*float64(v.config.ExposureCap))
	return all.Weight > 0 && all.Weight >= 0.95*enough && all.Mean() >= openQuality*v.config.PriorQuality
}
