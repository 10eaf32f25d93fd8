package main

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/choice/sim"
)

// options holds the command-line options.
type options struct {
	Deployment  []string      `long:"deployment" default:"tarifas" default:"sahel" description:"example deployments"`
	Preset      []string      `long:"preset" default:"ordinary" description:"presets in force"`
	World       []string      `long:"world" default:"spread" description:"how answers are distributed: spread, coarse, flat"`
	Seed        []uint64      `long:"seed" default:"1" description:"seeds"`
	Hours       float64       `long:"hours" default:"8" description:"virtual hours of requests"`
	Nodes       int           `long:"nodes" default:"8" description:"entry nodes"`
	Load        float64       `long:"load" default:"1" description:"factor on the requests a second"`
	Noise       float64       `long:"noise" default:"0.1" description:"standard deviation of ratings"`
	Wrong       float64       `long:"wrong" default:"0.02" description:"standard deviation of true qualities about the operators' belief"`
	Delay       time.Duration `long:"delay" default:"2s" description:"mean time until a rating comes"`
	Sessions    float64       `long:"sessions" default:"0" description:"share of answers that are followed by another in the session"`
	Serving     bool          `long:"serving" description:"staged versions serve from the start"`
	Factor      float64       `long:"factor" default:"0.5" description:"what is left of the quality of a version that changes"`
	Confidence  float64       `long:"confidence" default:"0" description:"standard deviations; 0 is the default"`
	SampleShare float64       `long:"sample-share" default:"0" description:"share of answers rated; 0 is the default"`
	Policy      string        `long:"policy" description:"only this policy: chooser, best, cheapest, half"`
	Parts       bool          `long:"parts" description:"print each organisation and class"`
	Args        struct {
		Experiment string `positional-arg-name:"experiment" choice:"cost" choice:"turn" choice:"good" choice:"outage" choice:"drift" required:"yes"`
	} `positional-args:"yes"`
}

// config returns the configuration of one run.
func (o options) config(deployment, preset, world string, seed uint64) sim.Config {
	return sim.Config{
		Deployment:    deployment,
		Preset:        preset,
		Seed:          seed,
		Duration:      time.Duration(o.Hours * float64(time.Hour)),
		Nodes:         o.Nodes,
		Load:          o.Load,
		FollowUpShare: o.Sessions,
		ServeStaged:   o.Serving,
		World:         sim.World{Kind: sim.Kind(world), Noise: o.Noise, PriorError: o.Wrong, Delay: o.Delay},
		Settings:      choice.Settings{Confidence: o.Confidence, SampleShare: o.SampleShare},
	}
}
