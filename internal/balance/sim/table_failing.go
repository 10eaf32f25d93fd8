package sim

import (
	"fmt"
	"io"
	"time"

	"github.com/hickorybank/hickorybank/internal/balance"
	"github.com/hickorybank/hickorybank/internal/config"
)

const (
	faultFrom  = defaultWarmup
	faultUntil = 3 * time.Minute
)

// failingCases returns the faults of the table of failing upstreams. They run at a
// normal load and at one that exhausts the engines' slots.
func failingCases() []namedFaults {
	return []namedFaults{
		{"none", nil},
		{"engine fails all", []Fault{failingFault(false, 3, 1)}},
		{"engine fails half", []Fault{failingFault(false, 3, 0.5)}},
		{"engine fails a fifth", []Fault{failingFault(false, 3, 0.2)}},
		{"service fails half", []Fault{failingFault(true, 1, 0.5)}},
		{"service fails a fifth", []Fault{failingFault(true, 1, 0.2)}},
		{"domain fails half", []Fault{failingFault(false, -1, 0.5)}},
		{"engine crashes for 5 s of 15", repeatedCrashes(5*time.Second, 15*time.Second)},
		{"domain lost", []Fault{{Kind: Crash, From: faultFrom, Until: faultUntil, Engine: -1, Domain: 0}}},
		{"engine 8 times as slow", []Fault{{Kind: Slow, From: faultFrom, Until: faultUntil, Engine: 3, Factor: 8}}},
	}
}

type namedFaults struct {
	name   string
	faults []Fault
}

func failingFault(service bool, engine int, share float64) Fault {
	return Fault{Kind: Failing, From: faultFrom, Until: faultUntil, Service: service, Engine: engine, Factor: share}
}

// repeatedCrashes returns crashes of one engine that last down and repeat every
// interval.
func repeatedCrashes(down, interval time.Duration) []Fault {
	var list []Fault
	for at := faultFrom; at < faultUntil; at += interval {
		list = append(list, Fault{Kind: Crash, From: at, Until: at + down, Engine: 3})
	}
	return list
}

func failingTable(w io.Writer, seeds []uint64) error {
	writeHeader(w, "deployment", "load", "fault", "way", "attempts sent there %", "requests failed", "work done meanwhile %", "immediate p99 ms", "too late")
	list := []variant{
		{name: "round robin", cfg: Config{Balance: balance.Settings{Policy: balance.PolicyRoundRobin}}},
		{name: "least loaded", cfg: Config{Balance: balance.Settings{Policy: balance.PolicyLeastLoaded}}},
		{name: "affinity", cfg: Config{}},
	}
	for _, deployment := range exampleDeployments {
		for _, load := range []float64{0.6, 1.2} {
			for _, v := range list {
				v.cfg.Load = load
				if err := failingRows(w, deployment, v, seeds); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// failingRows writes one row per fault. Work done is relative to the same variant
// without a fault.
func failingRows(w io.Writer, deployment string, v variant, seeds []uint64) error {
	d, err := DeploymentOf(deployment)
	if err != nil {
		return err
	}
	cfg := v.cfg
	cfg.Deployment, cfg.Duration, cfg.Warmup, cfg.Retries = d, defaultDuration, defaultWarmup, 2
	var baseline float64
	for _, f := range failingCases() {
		cfg.Faults = f.faults
		r, err := RunAll(cfg, seeds)
		if err != nil {
			return err
		}
		failed, late := 0, 0
		for i := range r.Classes {
			failed += r.Classes[i].Failed
			late += r.Classes[i].Late
		}
		done := r.Goodput(faultFrom, faultUntil)
		if baseline == 0 {
			baseline = done
		}
		writeRow(w, deployment, fmt.Sprint(cfg.Load), f.name, v.name, percent(r.AttemptsToFaulty, r.AttemptsDuringFaults),
			fmt.Sprint(failed), fmt.Sprintf("%.1f", 100*done/baseline),
			millis(r.classOfKind(&d, config.Immediate).TotalAt(99)), fmt.Sprint(late))
	}
	return nil
}
