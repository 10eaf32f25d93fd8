package choice

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

const (
	// minOpenRatings is the number of ratings of a staged version that suffice to lift
	// its cap. With a small cap, minOpenCapShare of the cap suffices.
	minOpenRatings  = 20
	minOpenCapShare = 0.5
	// minOpenQuality is the share of the configured prior quality that the mean rating
	// must reach.
	minOpenQuality = 0.85
)

// CanLiftCap reports whether a staged version has enough good ratings for its exposure
// cap to be lifted.
func (c *Chooser) CanLiftCap(version string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view == nil {
		return false
	}
	i, ok := c.view.index[version]
	if !ok || !c.view.snapshot.Preset().AdvanceRollouts {
		return false
	}
	v := &c.view.versions[i]
	if v.state.held() || v.state.statistic() >= holdThreshold/3 || c.ratingService.down() {
		return false
	}
	var all quality.Moments
	for _, class := range v.state.classes {
		cell := c.cell(quality.Key{Version: version, Class: class}, now)
		all.Weight += cell.Long.Weight
		all.Sum += cell.Long.Sum
	}
	required := min(minOpenRatings, minOpenCapShare*float64(v.config.ExposureCap))
	return all.Weight > 0 && all.Weight >= 0.95*required && all.Mean() >= minOpenQuality*v.config.PriorQuality
}
