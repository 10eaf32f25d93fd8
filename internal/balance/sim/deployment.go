package sim

import (
	"time"

	"github.com/rotisserie/eris"
)

// Deployment holds the size, the delays and the assumed load of one deployment.
type Deployment struct {
	Name    string
	Domains int
	Nodes   int
	Engines int
	// Services is the number of service upstreams.
	Services int
	// DomainDelay is the one-way delay between failure domains; the one within a domain
	// is a fifth of it.
	DomainDelay time.Duration
	// ClientDelay is the one-way delay between callers and nodes.
	ClientDelay time.Duration
	Classes     []Class
	// Demand holds the demand of each organisation, Weights its fair share; both are
	// relative.
	Demand  []float64
	Weights []float64

	// BatchLimit is the maximum number of requests in an engine's batch. StepTime is
	// the time of a step for a single request. CacheEntries is the number of cached
	// prefixes, ReportAge the age of load reports.
	BatchLimit   int
	StepTime     time.Duration
	CacheEntries int
	ReportAge    time.Duration
	// Slots is the number of calls that a service upstream processes at a time.
	Slots int
}

// Assumptions about engines. A step takes 25 ms for one request and 37 ms for a full
// batch of 16, so the time between tokens stays within 44 ms.
const (
	assumedBatchLimit   = 16
	assumedStep         = 25 * time.Millisecond
	assumedCacheEntries = 24
	assumedReportAge    = time.Second
	assumedSlots        = 8
)

// DeploymentOf returns the deployment tarifas, sahel, mixed or large, or an error for
// any other name. mixed is sahel with some checks done by a model on the engines. large
// has a tenth of the size that the developers' page expects. A node sees the same there
// as at full size: a subset of 64 out of many more upstreams.
func DeploymentOf(name string) (Deployment, error) {
	d := Deployment{
		Name: name, Domains: 4, Nodes: 8, Engines: 18, Services: 4,
		Demand:     []float64{30, 20, 15, 5, 5, 5, 5, 5, 5, 5},
		Weights:    []float64{8, 6, 4, 1, 1, 1, 1, 1, 1, 1},
		BatchLimit: assumedBatchLimit, StepTime: assumedStep, CacheEntries: assumedCacheEntries, ReportAge: assumedReportAge, Slots: assumedSlots,
	}
	switch name {
	case "tarifas":
		d.DomainDelay = time.Millisecond
		d.ClientDelay = time.Millisecond
		d.Classes = tarifasClasses()
	case "sahel":
		d.DomainDelay = 1500 * time.Microsecond
		d.ClientDelay = 3 * time.Millisecond
		d.Classes = sahelClasses()
	case "mixed":
		d.DomainDelay = 1500 * time.Microsecond
		d.ClientDelay = 3 * time.Millisecond
		d.Classes = mixedClasses()
	case "large":
		d.Domains, d.Nodes, d.Engines, d.Services = 4, 160, 1000, 40
		d.DomainDelay = time.Millisecond
		d.ClientDelay = time.Millisecond
		d.Classes = tarifasClasses()
	default:
		return Deployment{}, eris.Errorf("there is no deployment %q; known are tarifas, sahel, mixed and large", name)
	}
	return d, nil
}

// efficiency is the maximum share of the ideal throughput that engines reach. Prefills
// slow down other requests, and slots are briefly idle between requests. The value is
// the peak without admission in the overload table.
const efficiency = 0.89

// Capacity estimates the requests per second that the engines can complete, from the
// time that a mean request occupies a slot in a full batch.
func (d *Deployment) Capacity() float64 {
	lone := d.StepTime.Seconds()
	full := lone * (31 + float64(d.BatchLimit)) / 32
	var seconds float64
	for _, c := range d.Classes {
		if c.Version == "" {
			continue
		}
		slowdown := full / (lone * (31 + 4) / 32)
		seconds += c.Share * (float64(c.Tokens)*full + c.Prefill.Seconds()*slowdown)
	}
	return efficiency * float64(d.Engines*d.BatchLimit) / seconds
}
