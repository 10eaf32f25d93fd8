package choice

import "github.com/hickorybank/hickorybank/internal/choice/frontier"

// exploreShare is the share of requests that run on a version with few ratings that may
// be better than its estimate. Without exploration, a version with a low estimate would
// never be rated again.
func exploreShare(weight float64) float64 {
	switch {
	case weight < minReferenceRatings:
		return 0.1
	case weight < exploredRatings/4:
		return 0.03
	}
	return 0.01
}

// explore runs a version with few ratings for a small share of requests.
func (c *decision) explore(f *frontier.Frontier) (Plan, bool) {
	options := f.Explore()
	if len(options) == 0 || c.ratingService.down() {
		return Plan{}, false
	}
	option := &options[int(c.draws.next()*float64(len(options)))]
	if c.draws.next() >= exploreShare(option.Estimate.Weight) {
		return Plan{}, false
	}
	c.countFixed(option.Estimate.Mean)
	return Plan{First: option.Version, Rate: true, RateAgain: c.sampleSecondRating(c.version(option.Version))}, true
}
