package sim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/choice"
)

// Config configures one simulation run.
type Config struct {
	// Deployment names the example deployment: tarifas or sahel.
	Deployment string
	// Preset overrides the deployment's preset; empty keeps it.
	Preset string
	Seed   uint64
	// Duration is the virtual time during which requests arrive.
	Duration time.Duration
	// Nodes is the number of entry nodes; 0 means 8.
	Nodes int
	// Load multiplies the request rate of the deployment; 0 means 1.
	Load float64
	// FollowUpShare is the share of answers, 0 to 1, after which the session sends
	// another request.
	FollowUpShare float64
	// World holds the assumptions about answers and ratings.
	World World
	// Policy creates the policy under test, once per node; nil means [choice.New].
	Policy func() choice.Policy
	// Settings are the settings of each node's chooser; Node and Epoch are overwritten.
	Settings choice.Settings
	// ServeStaged sets staged versions to serving from the start.
	ServeStaged bool
	// Changes are changes of true qualities during the run.
	Changes []Change
	// Outages are the intervals in which all ratings fail.
	Outages []Outage
}

// Change sets the true quality of a version, from time At on, to its initial quality
// times Factor.
type Change struct {
	At      time.Duration
	Version string
	Factor  float64
}

// Outage is an interval of virtual time, From included and To excluded, in which the
// rating service fails.
type Outage struct {
	From time.Duration
	To   time.Duration
}

func (c Config) withDefaults() Config {
	if c.Nodes == 0 {
		c.Nodes = 8
	}
	if c.Load == 0 {
		c.Load = 1
	}
	c.World = c.World.withDefaults()
	return c
}

func (c Config) ratingsDown(at time.Duration) bool {
	for _, o := range c.Outages {
		if at >= o.From && at < o.To {
			return true
		}
	}
	return false
}
