package choice

const (
	// suspectThreshold is the statistic, in nats, from which a version is suspect and all
	// its answers are rated.
	suspectThreshold = 1.5
	// minPairs is the number of answers rated twice from which only pairShare of the
	// rated answers are rated twice.
	minPairs  = 150
	pairShare = 0.1
	// earlyPairShare is that share before.
	earlyPairShare = 0.5
	// minSamples is the number of ratings of a version for a class from which its answers
	// are only sampled. The first thousand ratings narrow the estimates most, and with
	// them the safety margin that costs money.
	minSamples = 1000
	// minFallbackRatings is the number of rated fallback answers from which they are only
	// sampled, too.
	minFallbackRatings = 1000
)

// sampleRating reports whether the answer should be rated, and whether twice.
func (c *decision) sampleRating(v *versionView) (once, again bool) {
	k := c.estimate(v.config, c.req.Class.Name, c.req.Now)
	if !c.sample(v.state, k.option.Estimate.Weight < minSamples) {
		return false, false
	}
	return true, c.sampleSecondRating(v)
}

// sampleSecondRating reports whether a rated answer should be rated twice.
func (c *decision) sampleSecondRating(v *versionView) bool {
	share := pairShare
	if c.estimate(v.config, c.req.Class.Name, c.req.Now).pairs < minPairs {
		share = earlyPairShare
	}
	return c.draws.next() < share
}

// sampleFallback reports whether the fallback answer of a cascade should be rated. All
// are until there are enough ratings: otherwise the difficulty of the requests that the
// first version fails on would be unknown.
func (c *decision) sampleFallback(version string) bool {
	k := c.estimate(c.version(version).config, c.req.Class.Name, c.req.Now)
	return c.sample(c.version(version).state, k.fallbacks < minFallbackRatings)
}

// sample reports whether an answer of a version should be rated. With few set, all are,
// within the rate limit.
func (c *decision) sample(s *versionState, few bool) bool {
	if c.ratingService.down() {
		return c.ratingService.allowProbe(c.req.Now)
	}
	if s.statistic() >= suspectThreshold {
		return true
	}
	return (few || c.draws.next() < c.settings.SampleShare) && c.ratingService.allow(c.req.Now)
}
