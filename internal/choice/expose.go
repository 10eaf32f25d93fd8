package choice

// protectionShare is the share of the target below which the answer of a staged version
// without enough ratings is replaced by the best version's, if the class allows cascades.
const protectionShare = 0.75

// dueForExposure counts the request towards a staged version's share and reports whether
// the version should run it.
func (c *decision) dueForExposure(v *versionView) bool {
	s := v.state
	s.budget.Count(v.config.Share)
	if !s.budget.Due() {
		return false
	}
	s.grantWanted = true
	// Without ratings a bad version would go undetected, so it gets no new requests until
	// the rating service is back.
	return s.budget.Granted() && !c.ratingService.down()
}

// expose returns the plan that runs a staged version.
func (c *decision) expose(v *versionView) Plan {
	protect := !v.state.budget.Open() && c.mayCascade() && c.usable != 0
	v.state.budget.Spend()
	c.countFixed(c.expectedQuality(v))
	p := Plan{First: v.config.Name, Exposed: true, Rate: true}
	if protect {
		best := c.frontier(c.keyFor(false), c.req.Now).Best()
		p.Then = c.view.single[best.First]
		p.Threshold = protectionShare * c.req.Org.Target(c.req.Class.Name)
	}
	return p
}
