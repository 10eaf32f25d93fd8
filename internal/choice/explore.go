package choice

import "github.com/hickorybank/hickorybank/internal/choice/frontier"

// exploreShare is the share of requests that run on a version which few
// ratings speak of, if it may be worth more than is known. Without it a version
// that is believed bad would never be rated again.
func exploreShare(weight float64) float64 {
	switch {
	case weight < referenceRatings:
		return 0.1
	case weight < enoughRatings/4:
		return 0.03
	}
	return 0.01
}

// explore runs a little-known version now and then.
func (c *call) explore(f *frontier.Frontier) (Plan, bool) {
	options := f.Explore()
	if len(options) == 0 || c.ratings.down() {
		return Plan{}, false
	}
	pick := &options[int(c.draws.next()*float64(len(options)))]
	if c.draws.next() >= exploreShare(pick.Estimate.Weight) {
		return Plan{}, false
	}
	c.fixed(pick.Estimate.Mean)
	return Plan{First: pick.Version, Rate: true, RateAgain: c.again(c.version(pick.Version))}, true
}
