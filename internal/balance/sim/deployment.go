package sim

import (
	"time"

	"github.com/rotisserie/eris"
)

// Deployment is the sizes of one place where the system runs.
type Deployment struct {
	Name    string
	Domains int
	Nodes   int
	Engines int
	// Services are the plain service's upstreams.
	Services int
	// OneWay is the delay between failure domains; within one it is a fifth.
	OneWay time.Duration
	// ToClient is the delay between callers and nodes.
	ToClient time.Duration
	Classes  []Class
	// Demand is each organisation's part of the requests, Weights its fair share.
	Demand  []float64
	Weights []float64

	// Batch is how many requests an engine batches, Gap the time of a lone
	// request's step, Cache the prefixes that fit, Lag the age of reports.
	Batch int
	Gap   time.Duration
	Cache int
	Lag   time.Duration
	// Slots is how many calls a service's upstream works on at a time.
	Slots int
}

// Assumed of the engines: 25 ms a step alone, 37 ms with a full batch of 16,
// so that 44 ms between tokens is kept; 24 prefixes fit; load is a second old.
const (
	assumedBatch = 16
	assumedGap   = 25 * time.Millisecond
	assumedCache = 24
	assumedLag   = time.Second
	assumedSlots = 8
)

// DeploymentOf returns the sizes of tarifas, sahel, mixed or large. Mixed is
// sahel with some checks done by a model on the engines. Large is a tenth
// of the size that the developers' page expects: what a node sees of it is the
// same, a subset of 64 of many more upstreams.
func DeploymentOf(name string) (Deployment, error) {
	d := Deployment{
		Name: name, Domains: 4, Nodes: 8, Engines: 18, Services: 4,
		Demand:  []float64{30, 20, 15, 5, 5, 5, 5, 5, 5, 5},
		Weights: []float64{8, 6, 4, 1, 1, 1, 1, 1, 1, 1},
		Batch:   assumedBatch, Gap: assumedGap, Cache: assumedCache, Lag: assumedLag, Slots: assumedSlots,
	}
	switch name {
	case "tarifas":
		d.OneWay = time.Millisecond
		d.ToClient = time.Millisecond
		d.Classes = tarifasClasses()
	case "sahel":
		d.OneWay = 1500 * time.Microsecond
		d.ToClient = 3 * time.Millisecond
		d.Classes = sahelClasses()
	case "mixed":
		d.OneWay = 1500 * time.Microsecond
		d.ToClient = 3 * time.Millisecond
		d.Classes = mixedClasses()
	case "large":
		d.Domains, d.Nodes, d.Engines, d.Services = 4, 160, 1000, 40
		d.OneWay = time.Millisecond
		d.ToClient = time.Millisecond
		d.Classes = tarifasClasses()
	default:
		return Deployment{}, eris.Errorf("there is no deployment %q; known are tarifas, sahel, mixed and large", name)
	}
	return d, nil
}

// efficiency is what engines complete of that at most, because prompts that
// are read slow the others down and places are free for moments: the peak of
// the table of overload without admission.
const efficiency = 0.89

// Capacity estimates the requests a second that the engines can complete, by
// the time that a mean request holds a place in a full batch.
func (d *Deployment) Capacity() float64 {
	lone := d.Gap.Seconds()
	full := lone * (31 + float64(d.Batch)) / 32
	var seconds float64
	for _, c := range d.Classes {
		if c.Version == "" {
			continue
		}
		stretch := full / (lone * (31 + 4) / 32)
		seconds += c.Share * (float64(c.Tokens)*full + c.Prefill.Seconds()*stretch)
	}
	return efficiency * float64(d.Engines*d.Batch) / seconds
}
