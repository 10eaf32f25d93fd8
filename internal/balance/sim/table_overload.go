package sim

import (
	"fmt"
	"io"
	"math"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// The surge of the overload table.
const (
	surgeFrom  = 2 * time.Minute
	surgeUntil = 3 * time.Minute
	// surgeSettleTime is the time after which most requests that end began in the
	// surge.
	surgeSettleTime = 20 * time.Second
	baseLoad        = 0.5
)

func overloadTable(w io.Writer, seeds []uint64) error {
	writeHeader(w, "deployment", "way", "load", "work done % of peak", "immediate in the surge p50 ms", "p99 ms", "heavy first token in the surge p50 s", "p99 s",
		"refused heavy %", "refused deferrable %", "late", "first tokens back after s")
	list := []variant{
		{name: "no admission", cfg: Config{NoAdmission: true}},
		{name: "a queue for each version", cfg: Config{PoolPerVersion: true, CallerRetries: 3}},
		{name: "limits by latency alone", cfg: Config{LatencyOnly: true}},
		{name: "admission", cfg: Config{}},
		{name: "admission, callers come back", cfg: Config{CallerRetries: 3}},
	}
	for _, deployment := range []string{"tarifas", "sahel", "mixed"} {
		peak, err := peakWork(deployment, seeds)
		if err != nil {
			return err
		}
		for _, v := range list {
			for _, load := range []float64{0.5, 1, 2, 5} {
				if err := overloadRow(w, deployment, v, load, peak, seeds); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// peakWork returns the highest goodput over several loads without admission.
func peakWork(deployment string, seeds []uint64) (float64, error) {
	var peak float64
	for _, load := range []float64{0.8, 1, 1.2, 1.5} {
		r, _, err := runSurge(deployment, Config{NoAdmission: true}, load, seeds)
		if err != nil {
			return 0, err
		}
		peak = math.Max(peak, r.Goodput(surgeFrom+surgeSettleTime, surgeUntil))
	}
	return peak, nil
}

func runSurge(deployment string, cfg Config, load float64, seeds []uint64) (*Result, *Deployment, error) {
	d, err := DeploymentOf(deployment)
	if err != nil {
		return nil, nil, err
	}
	cfg.Deployment, cfg.Duration, cfg.Warmup, cfg.Load = d, defaultDuration, surgeFrom, baseLoad
	cfg.Surge = Surge{From: surgeFrom, Until: surgeUntil, Factor: load / baseLoad}
	cfg.CountUntil = surgeUntil
	r, err := RunAll(cfg, seeds)
	return r, &d, err
}

func overloadRow(w io.Writer, deployment string, v variant, load, peak float64, seeds []uint64) error {
	r, d, err := runSurge(deployment, v.cfg, load, seeds)
	if err != nil {
		return err
	}
	heavy, deferrable, immediate := r.classOfKind(d, config.Heavy), r.classOfKind(d, config.Deferrable), r.classOfKind(d, config.Immediate)
	writeRow(w, deployment, v.name, fmt.Sprint(load),
		fmt.Sprintf("%.0f", 100*r.Goodput(surgeFrom+surgeSettleTime, surgeUntil)/peak),
		millis(immediate.TotalAt(50)), millis(immediate.TotalAt(99)), seconds(heavy.FirstTokenAt(50)), seconds(heavy.FirstTokenAt(99)),
		percent(heavy.Refused, heavy.Offers), percent(deferrable.Refused, deferrable.Offers), fmt.Sprint(heavy.Late+deferrable.Late+immediate.Late),
		recoveryText(recoverySeconds(r, surgeFrom, surgeUntil, defaultDuration)))
	return nil
}

func fairnessTable(w io.Writer, seeds []uint64) error {
	writeHeader(w, "deployment", "way", "work of the flooding organisation, of all %", "its fair share %", "requests of the small ones answered %", "least of any small one %", "Jain index of work for what each is entitled to")
	list := []variant{
		{name: "no flood", cfg: Config{}},
		{name: "no admission", cfg: Config{NoAdmission: true, FloodFactor: 10}},
		{name: "admission", cfg: Config{FloodFactor: 10}},
		{name: "admission, callers come back", cfg: Config{FloodFactor: 10, CallerRetries: 3}},
	}
	for _, deployment := range exampleDeployments {
		for _, v := range list {
			if err := fairnessRow(w, deployment, v, seeds); err != nil {
				return err
			}
		}
	}
	return nil
}

// largeOrgs is the number of large organisations, which come first. The others request
// less than their fair share.
const largeOrgs = 3

func fairnessRow(w io.Writer, deployment string, v variant, seeds []uint64) error {
	d, err := DeploymentOf(deployment)
	if err != nil {
		return err
	}
	cfg := v.cfg
	cfg.Deployment, cfg.Duration, cfg.Warmup, cfg.Load = d, defaultDuration, defaultWarmup, 0.7
	if cfg.FloodFactor > 0 {
		// The others' demand stays what it was.
		cfg.Load *= 1 + (cfg.FloodFactor-1)*d.Demand[0]/sum(d.Demand)
	}
	r, err := RunAll(cfg, seeds)
	if err != nil {
		return err
	}
	small, worst := r.answeredBySmallOrgs()
	fair := 100 * d.Weights[0] / sum(d.Weights)
	writeRow(w, deployment, v.name, fmt.Sprintf("%.1f", 100*r.WorkByOrg[0]/sum(r.WorkByOrg)), fmt.Sprintf("%.1f", fair),
		fmt.Sprintf("%.1f", small), fmt.Sprintf("%.1f", worst), fmt.Sprintf("%.3f", jain(r.WorkByOrg, fairShares(r, &d))))
	return nil
}

// answeredBySmallOrgs returns the percentage of answered model requests of the small
// organisations, for all of them together and for the worst one.
func (r *Result) answeredBySmallOrgs() (all, worst float64) {
	var requests, answered int
	worst = 100
	for o := largeOrgs; o < len(r.RequestsByOrg); o++ {
		requests += r.RequestsByOrg[o]
		answered += r.AnsweredByOrg[o]
		worst = math.Min(worst, 100*float64(r.AnsweredByOrg[o])/float64(r.RequestsByOrg[o]))
	}
	return 100 * float64(answered) / float64(requests), worst
}

func sum(list []float64) float64 {
	var s float64
	for _, v := range list {
		s += v
	}
	return s
}

// fairShares returns the weighted max-min fair share of each organisation in the work
// done. No share exceeds what the organisation requested, and the rest goes to the
// others.
func fairShares(r *Result, d *Deployment) []float64 {
	remaining := sum(r.WorkByOrg)
	shares := make([]float64, len(d.Weights))
	unsatisfied := make([]bool, len(d.Weights))
	for i := range unsatisfied {
		unsatisfied[i] = true
	}
	for range d.Weights {
		var weights float64
		for i, o := range unsatisfied {
			if o {
				weights += d.Weights[i]
			}
		}
		allocated := 0.0
		for i, o := range unsatisfied {
			if o && r.RequestedWork[i] <= remaining*d.Weights[i]/weights {
				shares[i] = r.RequestedWork[i]
				unsatisfied[i] = false
				allocated += shares[i]
			}
		}
		if allocated == 0 {
			for i, o := range unsatisfied {
				if o {
					shares[i] = remaining * d.Weights[i] / weights
				}
			}
			return shares
		}
		remaining -= allocated
	}
	return shares
}

// jain returns Jain's fairness index of the shares relative to the entitled ones; 1 is
// perfectly fair.
func jain(shares, entitled []float64) float64 {
	var s, squares float64
	for i := range shares {
		x := shares[i] / entitled[i]
		s += x
		squares += x * x
	}
	return s * s / (float64(len(shares)) * squares)
}
