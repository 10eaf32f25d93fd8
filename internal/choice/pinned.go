package choice

import "github.com/hickorybank/hickorybank/internal/config"

// pinned plans a request whose version is fixed by its session or its caller.
func (c *decision) pinned() Plan {
	name := c.req.Versions[0]
	i, ok := c.view.index[name]
	if !ok {
		return Plan{Refusal: RefuseNoVersion}
	}
	v := &c.view.versions[i]
	if c.capacity(0).None() {
		return Plan{Refusal: RefuseNoEngine}
	}
	p := Plan{First: name}
	c.countFixed(c.expectedQuality(v))
	if v.state.held() {
		if c.hasAlternative(name) {
			return Plan{Refusal: RefuseHeld}
		}
		c.stranded[c.req.Class.Name] = struct{}{}
		p.AllHeld = true
	}
	if v.config.State == config.Staged {
		if !v.state.budget.Granted() {
			v.state.grantWanted = true
			return Plan{Refusal: RefuseUngranted}
		}
		v.state.budget.Spend()
		p.Exposed = true
		p.Rate = true
		return p
	}
	p.Rate, p.RateAgain = c.sampleRating(v)
	return p
}

// hasAlternative reports whether the organisation may use another version for the class
// that is serving and not held.
func (c *decision) hasAlternative(pinned string) bool {
	for i := range c.view.versions {
		v := &c.view.versions[i]
		if v.config.Name == pinned || v.config.State != config.Serving || v.state.held() {
			continue
		}
		if c.mayServe(v) {
			return true
		}
	}
	return false
}

func (c *decision) mayServe(v *versionView) bool {
	model := c.req.Class.Model
	if model != "" && c.req.Snapshot.ModelOf(v.config.Name).Name != model {
		return false
	}
	return c.req.Snapshot.Allowed(c.req.Org, v.config.Name)
}
