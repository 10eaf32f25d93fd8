package choice

// protection is the share of the target below which an answer of a version
// whose ratings are not yet in is replaced by the best version's, where the
// class can wait for that.
const protection = 0.75

// due counts the request towards a staged version's share, and says whether
// the version is to run it.
func (c *call) due(v *versionView) bool {
	s := v.state
	s.purse.Count(v.config.Share)
	if !s.purse.Due() {
		return false
	}
	s.wanted = true
	// Without ratings nothing would tell that the version is bad, so nobody
	// new is exposed until they are back.
	return s.purse.Granted() && !c.ratings.down()
}

// expose runs a staged version.
func (c *call) expose(v *versionView) Plan {
	protect := !v.state.purse.Open() && c.mayCascade() && c.usable != 0
	v.state.purse.Spend()
	c.fixed(c.mean(v))
	p := Plan{First: v.config.Name, Exposed: true, Rate: true}
	if protect {
		best := c.frontier(c.key(false), c.req.Now).Best()
		p.Then = c.view.alone[best.First]
		p.Threshold = protection * c.req.Org.Target(c.req.Class.Name)
	}
	return p
}
