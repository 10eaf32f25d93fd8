package sim

import (
	"fmt"
	"io"
	"time"

	"github.com/hickorybank/hickorybank/internal/balance"
	"github.com/hickorybank/hickorybank/internal/config"
)

const (
	usualLength = 5 * time.Minute
	usualWarmup = time.Minute
)

// today are the two deployments.
var today = []string{"tarifas", "sahel"}

var allPolicies = []balance.PolicyName{
	balance.PolicyRoundRobin, balance.PolicyRandom, balance.PolicyLeastLoaded, balance.PolicyTwoChoices, balance.PolicyAffinity,
}

// ofKind returns the first class of that kind that is model work, or a
// service's when there is none.
func (r *Result) ofKind(d *Deployment, kind config.Kind) *ClassResult {
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

var choiceHead = []string{
	"first token heavy p50 s", "p99 s", "whole p50 s", "p99 s", "hits %",
	"first token deferrable p50 s", "p99 s", "hits %", "refused heavy %", "refused deferrable %", "immediate p50 ms", "p99 ms", "too late",
}

func choiceCells(r *Result, d *Deployment) []string {
	h, f, i := r.ofKind(d, config.Heavy), r.ofKind(d, config.Deferrable), r.ofKind(d, config.Immediate)
	return []string{
		seconds(h.FirstAt(50)), seconds(h.FirstAt(99)), seconds(h.TotalAt(50)), seconds(h.TotalAt(99)), percent(h.Cached, h.Completed),
		seconds(f.FirstAt(50)), seconds(f.FirstAt(99)), percent(f.Cached, f.Completed), percent(h.Refused, h.Offers), percent(f.Refused, f.Offers),
		millis(i.TotalAt(50)), millis(i.TotalAt(99)), fmt.Sprint(h.Late + f.Late + i.Late),
	}
}

func policiesTable(w io.Writer, seeds []uint64) error {
	head(w, append([]string{"deployment", "load", "policy"}, choiceHead...)...)
	for _, name := range today {
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

// choiceRow runs one configuration of the usual length and writes its row.
func choiceRow(w io.Writer, deployment string, load float64, label string, cfg Config, seeds []uint64) error {
	d, err := DeploymentOf(deployment)
	if err != nil {
		return err
	}
	cfg.Deployment = d
	cfg.Length, cfg.Warmup, cfg.Load = usualLength, usualWarmup, load
	r, err := RunAll(cfg, seeds)
	if err != nil {
		return err
	}
	row(w, append([]string{deployment, fmt.Sprint(load), label}, choiceCells(r, &d)...)...)
	return nil
}

func pollsTable(w io.Writer, seeds []uint64) error {
	head(w, append([]string{"deployment", "load", "polls a second and node"}, choiceHead...)...)
	for _, polls := range []float64{0.5, 1, 2, 4, 8, 20} {
		cfg := Config{Balance: balance.Settings{PollsPerSecond: polls}}
		if err := choiceRow(w, "tarifas", 0.9, fmt.Sprint(polls), cfg, seeds); err != nil {
			return err
		}
	}
	return nil
}

func largeTable(w io.Writer, seeds []uint64) error {
	head(w, append([]string{"deployment", "load", "policy and subset"}, choiceHead...)...)
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
		cfg := Config{Deployment: d, Length: 80 * time.Second, Warmup: 40 * time.Second, Load: 0.8, Balance: s}
		r, err := RunAll(cfg, seeds[:1])
		if err != nil {
			return err
		}
		label := fmt.Sprintf("%s %d", s.Policy, s.SubsetSize)
		if s.PollsPerSecond > 0 {
			label += fmt.Sprintf(", %v polls a second", s.PollsPerSecond)
		}
		row(w, append([]string{"large", "0.8", label}, choiceCells(r, &d)...)...)
	}
	return nil
}
