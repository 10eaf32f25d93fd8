package choice

const (
	// suspect is the statistic from which every answer of a version is
	// rated, in nats.
	suspect = 1.5
	// enoughPairs is how many answers must have been rated twice before
	// only pairShare of the rated ones are.
	enoughPairs = 150
	pairShare   = 0.1
	// enoughRescues is how many second answers of cascades must have been
	// rated before they are sampled like others.
	enoughRescues = 200
)

// rate says whether the answer is to be rated, and whether twice.
func (c *call) rate(v *versionView) (once, again bool) {
	if !c.sample(v.state) {
		return false, false
	}
	k := c.known(v.config, c.req.Class.Name, c.req.Now)
	if k.pairs < enoughPairs {
		return true, c.draws.next() < 0.5
	}
	return true, c.draws.next() < pairShare
}

// rateRescue says whether the second answer of a cascade is to be rated. Each
// is until enough are in: without, nothing would tell how much harder the
// requests are that the first version falls short of.
func (c *call) rateRescue(version string) bool {
	k := c.known(c.version(version).config, c.req.Class.Name, c.req.Now)
	return k.rescues < enoughRescues || c.sample(c.version(version).state)
}

func (c *call) sample(s *state) bool {
	if c.ratings.down() {
		return c.ratings.probe(c.req.Now)
	}
	if s.suspicion() >= suspect {
		return true
	}
	return c.draws.next() < c.settings.SampleShare && c.ratings.take(c.req.Now)
}
