package sim

import (
	"fmt"
	"io"
	"time"

	"github.com/hickorybank/hickorybank/internal/balance"
	"github.com/hickorybank/hickorybank/internal/config"
)

const (
	failFrom  = usualWarmup
	failUntil = 3 * time.Minute
)

// failures are what the table of failing upstreams lets happen. They are
// played at a usual load, and at one at which the engines' places run out.
func failures() []named {
	return []named{
		{"none", nil},
		{"engine fails all", []Fault{failing(false, 3, 1)}},
		{"engine fails half", []Fault{failing(false, 3, 0.5)}},
		{"engine fails a fifth", []Fault{failing(false, 3, 0.2)}},
		{"service fails half", []Fault{failing(true, 1, 0.5)}},
		{"service fails a fifth", []Fault{failing(true, 1, 0.2)}},
		{"domain fails half", []Fault{failing(false, -1, 0.5)}},
		{"engine crashes for 5 s of 15", crashes(5*time.Second, 15*time.Second)},
		{"domain lost", []Fault{{Kind: Crash, From: failFrom, Until: failUntil, Engine: -1, Domain: 0}}},
		{"engine 8 times as slow", []Fault{{Kind: Slow, From: failFrom, Until: failUntil, Engine: 3, Factor: 8}}},
	}
}

type named struct {
	name   string
	faults []Fault
}

func failing(service bool, engine int, part float64) Fault {
	return Fault{Kind: Failing, From: failFrom, Until: failUntil, Service: service, Engine: engine, Factor: part}
}

// crashes lets one engine crash and come back again and again.
func crashes(down, each time.Duration) []Fault {
	var list []Fault
	for at := failFrom; at < failUntil; at += each {
		list = append(list, Fault{Kind: Crash, From: at, Until: at + down, Engine: 3})
	}
	return list
}

func failingTable(w io.Writer, seeds []uint64) error {
	head(w, "deployment", "load", "fault", "way", "attempts sent there %", "requests failed", "work done meanwhile %", "immediate p99 ms", "too late")
	list := []variant{
		{name: "round robin", cfg: Config{Balance: balance.Settings{Policy: balance.PolicyRoundRobin}}},
		{name: "least loaded", cfg: Config{Balance: balance.Settings{Policy: balance.PolicyLeastLoaded}}},
		{name: "affinity", cfg: Config{}},
	}
	for _, deployment := range today {
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

// failingRows writes a row for each fault. Work done is against the same way
// without a fault.
func failingRows(w io.Writer, deployment string, v variant, seeds []uint64) error {
	d, err := DeploymentOf(deployment)
	if err != nil {
		return err
	}
	cfg := v.cfg
	cfg.Deployment, cfg.Length, cfg.Warmup, cfg.Retries = d, usualLength, usualWarmup, 2
	var usual float64
	for _, f := range failures() {
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
		done := r.Goodput(failFrom, failUntil)
		if usual == 0 {
			usual = done
		}
		row(w, deployment, fmt.Sprint(cfg.Load), f.name, v.name, percent(r.ToStruck, r.WhileStruck),
			fmt.Sprint(failed), fmt.Sprintf("%.1f", 100*done/usual),
			millis(r.ofKind(&d, config.Immediate).TotalAt(99)), fmt.Sprint(late))
	}
	return nil
}
