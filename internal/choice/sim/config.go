package sim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/choice"
)

// Config is one run.
type Config struct {
	// Deployment is an example deployment: tarifas or sahel.
	Deployment string
	// Preset is the preset in force; empty leaves the deployment's own.
	Preset string
	Seed   uint64
	// Duration is the virtual time during which requests arrive.
	Duration time.Duration
	// Nodes is how many entry nodes there are; 0 is eight.
	Nodes int
	// Load multiplies the requests a second of the deployment; 0 is one.
	Load float64
	// Sessions is the share of answers that a further request of the same
	// session follows.
	Sessions float64
	// World is how answers and ratings behave.
	World World
	// Policy makes the policy under test; nil is [choice.New].
	Policy func() choice.Policy
	// Settings are those of the choosers.
	Settings choice.Settings
	// Serving makes staged versions serve from the start.
	Serving bool
	// Changes change true qualities.
	Changes []Change
	// Outages of the rating service.
	Outages []Outage
}

// Change sets the true quality of a version to a share of what it was drawn to
// be at the start.
type Change struct {
	At      time.Duration
	Version string
	Factor  float64
}

// Outage is a time without a rating service.
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
