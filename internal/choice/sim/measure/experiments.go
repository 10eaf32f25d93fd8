package main

import (
	"fmt"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/choice/baseline"
	"github.com/hickorybank/hickorybank/internal/choice/sim"
	"github.com/hickorybank/hickorybank/internal/example"
)

var experiments = map[string]func(options) error{
	"cost":   cost,
	"turn":   degradation,
	"good":   falseAlarms,
	"outage": outage,
	"drift":  drift,
}

// policies lists the chooser and its baselines.
var policies = []struct {
	name string
	make func() choice.Policy
}{
	{"chooser", nil},
	{"best", func() choice.Policy { return baseline.Best{} }},
	{"cheapest", func() choice.Policy { return baseline.Cheapest{} }},
	{"half", func() choice.Policy { return baseline.FixedShare{Best: 0.5} }},
}

// each calls run for every combination of deployment, preset, world and seed.
func (o options) each(run func(cfg sim.Config) error) error {
	for _, deployment := range o.Deployment {
		for _, preset := range o.Preset {
			for _, world := range o.World {
				for _, seed := range o.Seed {
					if err := run(o.config(deployment, preset, world, seed)); err != nil {
						return err
					}
				}
			}
		}
	}
	return nil
}

// cost compares the policies without degradations and outages.
func cost(o options) error {
	fmt.Println(costHeader)
	return o.each(func(cfg sim.Config) error {
		for _, p := range policies {
			if o.Policy != "" && o.Policy != p.name {
				continue
			}
			cfg.Policy = p.make
			r, err := sim.Run(cfg)
			if err != nil {
				return err
			}
			printCost(p.name, r)
			if o.Parts {
				printOrgClasses(r)
			}
		}
		return nil
	})
}

// degradation degrades one version per run, in the middle of the run, for each version.
func degradation(o options) error {
	fmt.Println("deployment preset world seed version bad-answers held-after false-alarms")
	return o.each(func(cfg sim.Config) error {
		doc, err := example.Load(cfg.Deployment)
		if err != nil {
			return err
		}
		for _, m := range doc.Models {
			for _, v := range m.Versions {
				cfg.Changes = []sim.Change{{At: cfg.Duration / 2, Version: v.Name, Factor: o.Factor}}
				r, err := sim.Run(cfg)
				if err != nil {
					return err
				}
				printDegradations(r)
			}
		}
		return nil
	})
}

// falseAlarms counts false alarms over runs without degradations.
func falseAlarms(o options) error {
	fmt.Println("deployment preset world seed answers ratings false-alarms")
	var answers, alarms int
	err := o.each(func(cfg sim.Config) error {
		r, err := sim.Run(cfg)
		if err != nil {
			return err
		}
		answers += r.Answers
		alarms += r.FalseAlarms
		fmt.Println(label(r), r.Answers, r.Ratings, r.FalseAlarms)
		return nil
	})
	fmt.Println("total answers", answers, "false alarms", alarms)
	return err
}

// outage disables the rating service for the middle half of the run.
func outage(o options) error {
	fmt.Println(costHeader)
	return o.each(func(cfg sim.Config) error {
		cfg.Outages = []sim.Outage{{From: cfg.Duration / 4, To: cfg.Duration * 3 / 4}}
		r, err := sim.Run(cfg)
		if err != nil {
			return err
		}
		printCost("chooser", r)
		return nil
	})
}

// drift degrades the first version of each model in small steps.
func drift(o options) error {
	fmt.Println(costHeader)
	return o.each(func(cfg sim.Config) error {
		doc, err := example.Load(cfg.Deployment)
		if err != nil {
			return err
		}
		const steps = 20
		for _, m := range doc.Models {
			for i := 1; i <= steps; i++ {
				at := cfg.Duration/4 + cfg.Duration/2*time.Duration(i)/steps
				factor := 1 + (o.Factor-1)*float64(i)/steps
				cfg.Changes = append(cfg.Changes, sim.Change{At: at, Version: m.Versions[0].Name, Factor: factor})
			}
		}
		r, err := sim.Run(cfg)
		if err != nil {
			return err
		}
		printCost("chooser", r)
		if o.Parts {
			printOrgClasses(r)
		}
		return nil
	})
}
