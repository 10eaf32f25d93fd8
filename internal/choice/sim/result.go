package sim

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickorybank/hickorybank/internal/choice"
)

// Result is what a run measured.
type Result struct {
	Config Config
	// Answers counts the answers given to callers, Ratings those asked for.
	Answers int
	Ratings int
	Refused int
	// Cost is what was billed, Oracle what the cheapest mix that meets the
	// targets would have cost, Best what always the best version would have.
	Cost   float64
	Oracle float64
	Best   float64
	// Parts are the organisations' classes.
	Parts []Part
	// Classes are the latencies by class.
	Classes []ClassResult
	// Turns are the versions that turned bad.
	Turns []Turn
	// Exposed counts the answers of staged versions before their cap was
	// lifted, by version.
	Exposed map[string]int
	// Opened is when the cap of a version was lifted.
	Opened map[string]time.Duration
	Holds  []choice.Hold
	// FalseAlarms are the holds of versions that had not turned bad.
	FalseAlarms int
	// Simulated is the time until the last answer.
	Simulated time.Duration
}

// Part is one class of one organisation.
type Part struct {
	Org     string
	Class   string
	Target  float64
	Answers int
	Quality float64
	// Error is the standard error of Quality.
	Error  float64
	Cost   float64
	Oracle float64
	Best   float64
	// Reachable says that the oracle could meet the target.
	Reachable bool
}

// Met says that the mean quality reached the target.
func (p Part) Met() bool { return p.Quality >= p.Target }

// ClassResult is the latency of one class.
type ClassResult struct {
	Class    string
	Latency  *hdrhistogram.Histogram // milliseconds
	Cascaded int
	Answers  int
}

// Turn is one version that turned bad.
type Turn struct {
	Change Change
	// Bad counts the answers that were begun on it from then on.
	Bad int
	// Held is when the first node held it; below 0 when none did.
	Held time.Duration
}

// Met returns how many parts that the oracle could serve met their target, and
// of how many.
func (r Result) Met() (met, reachable int) {
	for _, p := range r.Parts {
		if !p.Reachable {
			continue
		}
		reachable++
		if p.Met() {
			met++
		}
	}
	return met, reachable
}

// Short returns how many reachable parts missed their target by more than two
// standard errors, which is more than the chance of single answers explains.
func (r Result) Short() int {
	var n int
	for _, p := range r.Parts {
		if p.Reachable && p.Quality+2*p.Error < p.Target {
			n++
		}
	}
	return n
}

// Lowest is the lowest margin of a reachable part over its target.
func (r Result) Lowest() float64 {
	lowest := math.Inf(1)
	for _, p := range r.Parts {
		if p.Reachable {
			lowest = min(lowest, p.Quality-p.Target)
		}
	}
	return lowest
}

// part sums up one class of one organisation.
type part struct {
	Part
	sum     float64
	squares float64
}

func (p *part) answer(q float64) {
	p.Answers++
	p.sum += q
	p.squares += q * q
}

func (p *part) result() Part {
	r := p.Part
	n := float64(max(p.Answers, 1))
	r.Quality = p.sum / n
	r.Error = math.Sqrt(max(p.squares/n-r.Quality*r.Quality, 0) / n)
	return r
}
