package sim

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickorybank/hickorybank/internal/choice"
)

// Result holds the measurements of one run.
type Result struct {
	Config Config
	// Answers counts the answers delivered to callers, Ratings the ratings requested,
	// Refused the requests that the policy refused.
	Answers int
	Ratings int
	Refused int
	// Cost is the cost of all attempts of delivered answers, OracleCost that of the
	// cheapest mix that meets the targets, BestCost that of the best version alone.
	Cost       float64
	OracleCost float64
	BestCost   float64
	// OrgClasses holds a result for each organisation and class with an answer.
	OrgClasses []OrgClassResult
	// Classes holds the latencies of each class.
	Classes []ClassResult
	// Degradations holds a result for each change of a version's quality.
	Degradations []Degradation
	// ExposedAnswers counts the requests first sent to a staged version before its
	// cap was lifted, by version.
	ExposedAnswers map[string]int
	// CapLifted is the virtual time at which a version's cap was lifted, by version.
	CapLifted map[string]time.Duration
	Holds     []choice.Hold
	// FalseAlarms counts the holds of versions that had not degraded.
	FalseAlarms int
	// Simulated is the virtual time of the last event.
	Simulated time.Duration
}

// OrgClassResult holds the measurements of one class of one organisation. Costs are sums
// over its answers; Quality is their mean.
type OrgClassResult struct {
	Org     string
	Class   string
	Target  float64
	Answers int
	Quality float64
	// StandardError is the standard error of Quality.
	StandardError float64
	Cost          float64
	OracleCost    float64
	BestCost      float64
	// Reachable is true if the oracle met the target for every answer.
	Reachable bool
}

// Met reports whether the mean quality reached the target.
func (p OrgClassResult) Met() bool { return p.Quality >= p.Target }

// ClassResult holds the latency of one class from arrival to delivery. Cascaded counts
// the answers delivered after a fallback.
type ClassResult struct {
	Class    string
	Latency  *hdrhistogram.Histogram // milliseconds
	Cascaded int
	Answers  int
}

// Degradation is one change of a version's quality and the reaction to it.
type Degradation struct {
	Change Change
	// Answers counts the attempts on the version since the change, if Factor is below 1.
	Answers int
	// HeldAt is the virtual time at which a node first held the version; negative if none
	// did.
	HeldAt time.Duration
}

// Met returns the number of reachable entries of OrgClasses that met their target, and
// the number of reachable entries.
func (r Result) Met() (met, reachable int) {
	for _, p := range r.OrgClasses {
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

// SignificantMisses returns the number of reachable entries of OrgClasses that missed
// their target by more than two standard errors. Random variation of single answers
// rarely explains a larger miss.
func (r Result) SignificantMisses() int {
	var n int
	for _, p := range r.OrgClasses {
		if p.Reachable && p.Quality+2*p.StandardError < p.Target {
			n++
		}
	}
	return n
}

// LowestMargin returns the lowest difference between quality and target among the
// reachable entries of OrgClasses.
func (r Result) LowestMargin() float64 {
	lowest := math.Inf(1)
	for _, p := range r.OrgClasses {
		if p.Reachable {
			lowest = min(lowest, p.Quality-p.Target)
		}
	}
	return lowest
}

// orgClassTally accumulates the result of one class of one organisation.
type orgClassTally struct {
	OrgClassResult
	qualitySum     float64
	qualitySquares float64
}

func (p *orgClassTally) addAnswer(q float64) {
	p.Answers++
	p.qualitySum += q
	p.qualitySquares += q * q
}

func (p *orgClassTally) result() OrgClassResult {
	r := p.OrgClassResult
	n := float64(max(p.Answers, 1))
	r.Quality = p.qualitySum / n
	r.StandardError = math.Sqrt(max(p.qualitySquares/n-r.Quality*r.Quality, 0) / n)
	return r
}
