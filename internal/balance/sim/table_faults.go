package sim

import (
	"fmt"
	"io"
	"time"

	"github.com/hickorybank/hickorybank/internal/balance"
)

// disabled is a threshold that no upstream reaches.
const disabled = 1 << 30

// variant is one configuration of an experiment.
type variant struct {
	name string
	cfg  Config
}

func grayTable(w io.Writer, seeds []uint64) error {
	writeHeader(w, append([]string{"deployment", "load", "way"}, choiceColumns...)...)
	noOutliers := balance.OutlierSettings{Ratio: disabled}
	list := []variant{
		{name: "round robin", cfg: Config{Balance: balance.Settings{Policy: balance.PolicyRoundRobin, Outlier: noOutliers}}},
		{name: "least loaded", cfg: Config{Balance: balance.Settings{Policy: balance.PolicyLeastLoaded, Outlier: noOutliers}}},
		{name: "two choices", cfg: Config{Balance: balance.Settings{Policy: balance.PolicyTwoChoices, Outlier: noOutliers}}},
		{name: "affinity", cfg: Config{Balance: balance.Settings{Outlier: noOutliers}}},
		{name: "affinity, outliers ejected", cfg: Config{}},
	}
	for _, deployment := range exampleDeployments {
		for _, v := range list {
			v.cfg.Faults = []Fault{{Kind: Slow, From: defaultWarmup, Until: 3 * time.Minute, Engine: 3, Factor: 8}}
			if err := choiceRow(w, deployment, 0.6, v.name, v.cfg, seeds); err != nil {
				return err
			}
		}
		if err := choiceRow(w, deployment, 0.6, "affinity, no fault", Config{}, seeds); err != nil {
			return err
		}
		for _, v := range list {
			v.cfg.Faults = []Fault{{Kind: Slow, From: defaultWarmup, Until: 3 * time.Minute, Service: true, Engine: 1, Factor: 50}}
			if err := choiceRow(w, deployment, 0.6, "service: "+v.name, v.cfg, seeds); err != nil {
				return err
			}
		}
	}
	return nil
}

func domainTable(w io.Writer, seeds []uint64) error {
	writeHeader(w, append([]string{"deployment", "load", "way", "broken", "failed after retries", "attempts for each request"}, choiceColumns...)...)
	noBreaker := balance.BreakerSettings{Failures: disabled}
	list := []variant{
		{name: "no breaker", cfg: Config{Retries: 2, Balance: balance.Settings{Breaker: noBreaker}}},
		{name: "breakers", cfg: Config{Retries: 2}},
		{name: "breakers, retry budget", cfg: Config{Retries: 2, RetryBudget: true}},
	}
	for _, deployment := range exampleDeployments {
		for _, v := range list {
			if err := domainRow(w, deployment, v, seeds); err != nil {
				return err
			}
		}
	}
	return nil
}

func domainRow(w io.Writer, deployment string, v variant, seeds []uint64) error {
	d, err := DeploymentOf(deployment)
	if err != nil {
		return err
	}
	cfg := v.cfg
	cfg.Deployment, cfg.Duration, cfg.Warmup, cfg.Load = d, defaultDuration, defaultWarmup, 0.6
	cfg.Faults = []Fault{{Kind: Crash, From: 2 * time.Minute, Until: 3 * time.Minute, Engine: -1, Domain: 0}}
	r, err := RunAll(cfg, seeds)
	if err != nil {
		return err
	}
	failed, offers := 0, 0
	for i := range r.Classes {
		failed += r.Classes[i].Failed
		offers += r.Classes[i].Offers
	}
	cells := []string{
		deployment, "0.6", v.name, fmt.Sprint(r.Broken), fmt.Sprint(failed - r.Broken), fmt.Sprintf("%.4f", float64(r.Attempts)/float64(r.Admitted)),
	}
	writeRow(w, append(cells, choiceCells(r, &d)...)...)
	return nil
}

func stormTable(w io.Writer, seeds []uint64) error {
	writeHeader(w, "deployment", "way", "attempts for each request in the storm", "work done in the storm's minute %", "first tokens back after s", "completed of all %")
	list := []variant{
		{name: "no budget, no admission", cfg: Config{NoAdmission: true}},
		{name: "no budget", cfg: Config{}},
		{name: "budget, no admission", cfg: Config{NoAdmission: true, RetryBudget: true}},
		{name: "budget", cfg: Config{RetryBudget: true}},
	}
	for _, deployment := range exampleDeployments {
		for _, v := range list {
			if err := stormRow(w, deployment, v, seeds); err != nil {
				return err
			}
		}
	}
	return nil
}

func stormRow(w io.Writer, deployment string, v variant, seeds []uint64) error {
	d, err := DeploymentOf(deployment)
	if err != nil {
		return err
	}
	const begin, end = 2 * time.Minute, 130 * time.Second
	cfg := v.cfg
	cfg.Deployment, cfg.Duration, cfg.Warmup, cfg.Load = d, defaultDuration, defaultWarmup, 0.8
	cfg.Retries, cfg.CallerRetries, cfg.IgnoreRetryAfter = 4, 100, true
	cfg.Faults = []Fault{{Kind: Declining, From: begin, Until: end, Engine: -1, Domain: -1}}
	r, err := RunAll(cfg, seeds)
	if err != nil {
		return err
	}
	requests, completed := 0, 0
	for i := range r.Classes {
		requests += r.Classes[i].Requests
		completed += r.Classes[i].Completed
	}
	baseline := r.Goodput(defaultWarmup, begin)
	writeRow(w, deployment, v.name,
		fmt.Sprintf("%.1f", r.attemptsPerRequest(begin, end)),
		fmt.Sprintf("%.0f", 100*r.Goodput(begin, begin+time.Minute)/baseline),
		recoveryText(recoverySeconds(r, begin, end, defaultDuration)), percent(completed, requests))
	return nil
}
