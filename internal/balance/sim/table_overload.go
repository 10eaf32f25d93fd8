package sim

import (
	"fmt"
	"io"
	"math"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// The surge of the table of overload.
const (
	surgeFrom  = 2 * time.Minute
	surgeUntil = 3 * time.Minute
	// settled is when work begun in the surge is what ends.
	settled  = 20 * time.Second
	baseLoad = 0.5
)

func overloadTable(w io.Writer, seeds []uint64) error {
	head(w, "deployment", "way", "load", "work done % of peak", "immediate in the surge p50 ms", "p99 ms", "heavy first token in the surge p50 s", "p99 s",
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

// peakWork is the most work that any load gives without admission.
func peakWork(deployment string, seeds []uint64) (float64, error) {
	var peak float64
	for _, load := range []float64{0.8, 1, 1.2, 1.5} {
		r, _, err := surge(deployment, Config{NoAdmission: true}, load, seeds)
		if err != nil {
			return 0, err
		}
		peak = math.Max(peak, r.Goodput(surgeFrom+settled, surgeUntil))
	}
	return peak, nil
}

func surge(deployment string, cfg Config, load float64, seeds []uint64) (*Result, *Deployment, error) {
	d, err := DeploymentOf(deployment)
	if err != nil {
		return nil, nil, err
	}
	cfg.Deployment, cfg.Length, cfg.Warmup, cfg.Load = d, usualLength, surgeFrom, baseLoad
	cfg.Surge = Surge{From: surgeFrom, Until: surgeUntil, Factor: load / baseLoad}
	cfg.CountUntil = surgeUntil
	r, err := RunAll(cfg, seeds)
	return r, &d, err
}

func overloadRow(w io.Writer, deployment string, v variant, load, peak float64, seeds []uint64) error {
	r, d, err := surge(deployment, v.cfg, load, seeds)
	if err != nil {
		return err
	}
	h, f, i := r.ofKind(d, config.Heavy), r.ofKind(d, config.Deferrable), r.ofKind(d, config.Immediate)
	row(w, deployment, v.name, fmt.Sprint(load),
		fmt.Sprintf("%.0f", 100*r.Goodput(surgeFrom+settled, surgeUntil)/peak),
		millis(i.TotalAt(50)), millis(i.TotalAt(99)), seconds(h.FirstAt(50)), seconds(h.FirstAt(99)),
		percent(h.Refused, h.Offers), percent(f.Refused, f.Offers), fmt.Sprint(h.Late+f.Late+i.Late),
		recoveryText(recovery(r, surgeFrom, surgeUntil, usualLength)))
	return nil
}

func fairnessTable(w io.Writer, seeds []uint64) error {
	head(w, "deployment", "way", "work of the flooding organisation, of all %", "its fair share %", "requests of the small ones answered %", "least of any small one %", "Jain index of work for what each is entitled to")
	list := []variant{
		{name: "no flood", cfg: Config{}},
		{name: "no admission", cfg: Config{NoAdmission: true, Flood: 10}},
		{name: "admission", cfg: Config{Flood: 10}},
		{name: "admission, callers come back", cfg: Config{Flood: 10, CallerRetries: 3}},
	}
	for _, deployment := range today {
		for _, v := range list {
			if err := fairnessRow(w, deployment, v, seeds); err != nil {
				return err
			}
		}
	}
	return nil
}

// largeOnes are the organisations 0 to 2; the others ask for less than their
// fair share.
const largeOnes = 3

func fairnessRow(w io.Writer, deployment string, v variant, seeds []uint64) error {
	d, err := DeploymentOf(deployment)
	if err != nil {
		return err
	}
	cfg := v.cfg
	cfg.Deployment, cfg.Length, cfg.Warmup, cfg.Load = d, usualLength, usualWarmup, 0.7
	if cfg.Flood > 0 {
		// The others' demand stays what it was.
		cfg.Load *= 1 + (cfg.Flood-1)*d.Demand[0]/sum(d.Demand)
	}
	r, err := RunAll(cfg, seeds)
	if err != nil {
		return err
	}
	small, least := r.answeredSmall()
	fair := 100 * d.Weights[0] / sum(d.Weights)
	row(w, deployment, v.name, fmt.Sprintf("%.1f", 100*r.WorkByOrg[0]/sum(r.WorkByOrg)), fmt.Sprintf("%.1f", fair),
		fmt.Sprintf("%.1f", small), fmt.Sprintf("%.1f", least), fmt.Sprintf("%.3f", jain(r.WorkByOrg, entitled(r, &d))))
	return nil
}

// answeredSmall is the part of the small organisations' model requests that
// were answered, over all and of the worst one, in percent.
func (r *Result) answeredSmall() (all, least float64) {
	var asked, answered int
	least = 100
	for o := largeOnes; o < len(r.AskedByOrg); o++ {
		asked += r.AskedByOrg[o]
		answered += r.AnsweredByOrg[o]
		least = math.Min(least, 100*float64(r.AnsweredByOrg[o])/float64(r.AskedByOrg[o]))
	}
	return 100 * float64(answered) / float64(asked), least
}

func sum(list []float64) float64 {
	var s float64
	for _, v := range list {
		s += v
	}
	return s
}

// entitled is each organisation's max-min fair part, by weight, of the work
// that was done: none gets more than it asked for, and what one leaves goes to
// the others.
func entitled(r *Result, d *Deployment) []float64 {
	left := sum(r.WorkByOrg)
	out := make([]float64, len(d.Weights))
	open := make([]bool, len(d.Weights))
	for i := range open {
		open[i] = true
	}
	for range d.Weights {
		var weights float64
		for i, o := range open {
			if o {
				weights += d.Weights[i]
			}
		}
		spent := 0.0
		for i, o := range open {
			if o && r.AskedWork[i] <= left*d.Weights[i]/weights {
				out[i] = r.AskedWork[i]
				open[i] = false
				spent += out[i]
			}
		}
		if spent == 0 {
			for i, o := range open {
				if o {
					out[i] = left * d.Weights[i] / weights
				}
			}
			return out
		}
		left -= spent
	}
	return out
}

// jain is Jain's index of what each got for what it should: 1 is even.
func jain(shares, weights []float64) float64 {
	var s, squares float64
	for i := range shares {
		x := shares[i] / weights[i]
		s += x
		squares += x * x
	}
	return s * s / (float64(len(shares)) * squares)
}
