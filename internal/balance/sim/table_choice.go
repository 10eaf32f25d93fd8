package sim

import (
	"fmt"
	"io"
	"time"

	"github.com/hickorybank/hickorybank/internal/balance"
	"github.com/hickorybank/hickorybank/internal/config"
)

const (
	defaultDuration = 5 * time.Minute
	defaultWarmup   = time.Minute
)

// exampleDeployments are the deployments of package example.
var exampleDeployments = []string{"tarifas", "sahel"}

var allPolicies = []balance.PolicyName{
	balance.PolicyRoundRobin, balance.PolicyRandom, balance.PolicyLeastLoaded, balance.PolicyTwoChoices, balance.PolicyAffinity,
}

// classOfKind returns the result of the first model class of the kind, or of the first
// service class if there is no model class.
func (r *Result) classOfKind(d *Deployment, kind config.Kind) *ClassResult {
	var service *ClassResult
	for i := range d.Classes {
		c := &d.Classes[i]
		if c.Kind != kind {
			continue
		}
		if c.Version != "" {
			return r.Class(c.Name)
		}
		if service == nil {
			service = r.Class(c.Name)
		}
	}
	return service
}

var choiceColumns = []string{
	"first token heavy p50 s", "p99 s", "whole p50 s", "p99 s", "hits %",
	"first token deferrable p50 s", "p99 s", "hits %", "refused heavy %", "refused deferrable %", "immediate p50 ms", "p99 ms", "too late",
}

func choiceCells(r *Result, d *Deployment) []string {
	heavy, deferrable, immediate := r.classOfKind(d, config.Heavy), r.classOfKind(d, config.Deferrable), r.classOfKind(d, config.Immediate)
	return []string{
		seconds(heavy.FirstTokenAt(50)), seconds(heavy.FirstTokenAt(99)), seconds(heavy.TotalAt(50)), seconds(heavy.TotalAt(99)), percent(heavy.Cached, heavy.Completed),
		seconds(deferrable.FirstTokenAt(50)), seconds(deferrable.FirstTokenAt(99)), percent(deferrable.Cached, deferrable.Completed), percent(heavy.Refused, heavy.Offers), percent(deferrable.Refused, deferrable.Offers),
		millis(immediate.TotalAt(50)), millis(immediate.TotalAt(99)), fmt.Sprint(heavy.Late + deferrable.Late + immediate.Late),
	}
}

func policiesTable(w io.Writer, seeds []uint64) error {
	writeHeader(w, append([]string{"deployment", "load", "policy"}, choiceColumns...)...)
	for _, name := range exampleDeployments {
		for _, load := range []float64{0.05, 0.5, 0.8, 0.95} {
			for _, p := range allPolicies {
				if err := choiceRow(w, name, load, string(p), Config{Balance: balance.Settings{Policy: p}}, seeds); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// choiceRow runs a configuration of the default duration and writes its row.
func choiceRow(w io.Writer, deployment string, load float64, label string, cfg Config, seeds []uint64) error {
	d, err := DeploymentOf(deployment)
	if err != nil {
		return err
	}
	cfg.Deployment = d
	cfg.Duration, cfg.Warmup, cfg.Load = defaultDuration, defaultWarmup, load
	r, err := RunAll(cfg, seeds)
	if err != nil {
		return err
	}
	writeRow(w, append([]string{deployment, fmt.Sprint(load), label}, choiceCells(r, &d)...)...)
	return nil
}

func pollsTable(w io.Writer, seeds []uint64) error {
	writeHeader(w, append([]string{"deployment", "load", "polls a second and node"}, choiceColumns...)...)
	for _, polls := range []float64{0.5, 1, 2, 4, 8, 20} {
		cfg := Config{Balance: balance.Settings{PollsPerSecond: polls}}
		if err := choiceRow(w, "tarifas", 0.9, fmt.Sprint(polls), cfg, seeds); err != nil {
			return err
		}
	}
	return nil
}

func largeTable(w io.Writer, seeds []uint64) error {
	writeHeader(w, append([]string{"deployment", "load", "policy and subset"}, choiceColumns...)...)
	list := []balance.Settings{
		{Policy: balance.PolicyLeastLoaded, SubsetSize: 64},
		{Policy: balance.PolicyTwoChoices, SubsetSize: 64},
		{Policy: balance.PolicyAffinity, SubsetSize: 16},
		{Policy: balance.PolicyAffinity, SubsetSize: 32},
		{Policy: balance.PolicyAffinity, SubsetSize: 64},
		{Policy: balance.PolicyAffinity, SubsetSize: 64, PollsPerSecond: 8},
	}
	for _, s := range list {
		d, err := DeploymentOf("large")
		if err != nil {
			return err
		}
		cfg := Config{Deployment: d, Duration: 80 * time.Second, Warmup: 40 * time.Second, Load: 0.8, Balance: s}
		r, err := RunAll(cfg, seeds[:1])
		if err != nil {
			return err
		}
		label := fmt.Sprintf("%s %d", s.Policy, s.SubsetSize)
		if s.PollsPerSecond > 0 {
			label += fmt.Sprintf(", %v polls a second", s.PollsPerSecond)
		}
		writeRow(w, append([]string{"large", "0.8", label}, choiceCells(r, &d)...)...)
	}
	return nil
}
