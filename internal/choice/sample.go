package choice

const (
	// suspect is the statistic from which every answer of a version is
	// rated, in nats.
	suspect = 1.5
	// enoughPairs is how many answers must have been rated twice before
	// only pairShare of the rated ones are.
	enoughPairs = 150
	pairShare   = 0.1
	// earlyPairShare is that share before.
	earlyPairShare = 0.5
	// enoughSamples is how many ratings a version must have for a class
	// before its answers are only sampled: the first thousand narrow the
	// estimates most, and with them the margin that is paid for.
	enoughSamples = 1000
	// enoughRescues is how many second answers of cascades must have been
	// rated before they are sampled like others.
	enoughRescues = 1000
)

// rate says whether the answer is to be rated, and whether twice.
func (c *call) rate(v *versionView) (once, again bool) {
	k := c.known(v.config, c.req.Class.Name, c.req.Now)
	if !c.sample(v.state, k.option.Estimate.Weight < enoughSamples) {
		return false, false
	}
	return true, c.again(v)
}

// again says whether an answer that is rated is to be rated twice.
func (c *call) again(v *versionView) bool {
	share := pairShare
	if c.known(v.config, c.req.Class.Name, c.req.Now).pairs < enoughPairs {
		share = earlyPairShare
	}
	return c.draws.next() < share
}

// rateRescue says whether the second answer of a cascade is to be rated. Each
// is until enough are in: without, nothing would tell how much harder the
// requests are that the first version falls short of.
func (c *call) rateRescue(version string) bool {
	k := c.known(c.version(version).config, c.req.Class.Name, c.req.Now)
	return c.sample(c.version(version).state, k.rescues < enoughRescues)
}

// sample says whether an answer of a version is to be rated; all are, within
// the bound, while few ratings are in.
func (c *call) sample(s *state, few bool) bool {
	if c.ratings.down() {
		return c.ratings.probe(c.req.Now)
	}
	if s.suspicion() >= suspect {
		return true
	}
	return (few || c.draws.next() < c.settings.SampleShare) && c.ratings.take(c.req.Now)
}
