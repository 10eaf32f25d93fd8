package sim

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of one run, or of several after RunAll.
type Result struct {
	Classes []ClassResult
	// Polls and Attempts count messages to upstreams.
	Polls    int
	Attempts int
	// Admitted counts the tries that were sent to an upstream, Broken the attempts that
	// broke off.
	Admitted int
	Broken   int
	// AttemptsToFaulty counts the attempts sent to upstreams during their fault.
	// AttemptsDuringFaults counts all attempts to upstreams of the same kind meanwhile.
	AttemptsToFaulty     int
	AttemptsDuringFaults int
	// RequestsByOrg and AnsweredByOrg count model requests from the warm-up on.
	RequestsByOrg []int
	AnsweredByOrg []int
	// RequestedWork is the work of all requests, answered or not, by organisation.
	RequestedWork []float64
	// Work is the engine seconds of answers in time, by second of the run. WorkByOrg is
	// the sum by organisation from the warm-up on.
	Work      []float64
	WorkByOrg []float64
	// FirstTokenBySecond is the mean time to the first token of heavy model requests in
	// seconds, by the second of the run in which the token came. NaN means none.
	FirstTokenBySecond []float64
	firstTokenCount    []int
	seconds            []secondCounts
	warmup             time.Duration
}

// ClassResult holds the measurements of one class from the warm-up on. Times start when
// the node receives the last try; earlier tries are left out.
type ClassResult struct {
	Name string
	// Requests counts the callers' requests and Offers their tries. Refused, Failed and
	// Late count tries by their end, Completed the answers in time.
	Requests, Offers, Refused, Failed, Late, Completed int
	Cached                                             int
	// FirstToken and Total are in microseconds and include the delay to the caller.
	FirstToken *hdrhistogram.Histogram
	Total      *hdrhistogram.Histogram
}

// maxLatencyMicros is the upper bound of the latency histograms.
const maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)

func newResult(cfg *Config) *Result {
	seconds := int(cfg.Duration/time.Second) + 300
	r := &Result{
		warmup: cfg.Warmup, Work: make([]float64, seconds), FirstTokenBySecond: make([]float64, seconds),
		firstTokenCount: make([]int, seconds), WorkByOrg: make([]float64, len(cfg.Deployment.Demand)),
		RequestsByOrg: make([]int, len(cfg.Deployment.Demand)), AnsweredByOrg: make([]int, len(cfg.Deployment.Demand)),
		RequestedWork: make([]float64, len(cfg.Deployment.Demand)),
		seconds:       make([]secondCounts, seconds),
	}
	for _, c := range cfg.Deployment.Classes {
		r.Classes = append(r.Classes, ClassResult{
			Name: c.Name, FirstToken: hdrhistogram.New(1, maxLatencyMicros, 3), Total: hdrhistogram.New(1, maxLatencyMicros, 3),
		})
	}
	// The last entry collects requests that are not measured.
	r.Classes = append(r.Classes, ClassResult{FirstToken: hdrhistogram.New(1, maxLatencyMicros, 1), Total: hdrhistogram.New(1, maxLatencyMicros, 1)})
	return r
}

// secondCounts counts the tries and attempts of model requests within one second of the
// run.
type secondCounts struct {
	offers   int
	attempts int
}

func (r *Result) secondAt(now time.Duration) *secondCounts {
	return &r.seconds[min(int(now/time.Second), len(r.seconds)-1)]
}

// attemptsPerRequest returns the attempts between two times per request normally
// expected. The expected number is the number of tries in the interval of the same
// length before.
func (r *Result) attemptsPerRequest(from, until time.Duration) float64 {
	var attempts, expected int
	for s := int(from / time.Second); s < int(until/time.Second); s++ {
		attempts += r.seconds[s].attempts
		expected += r.seconds[s-int((until-from)/time.Second)].offers
	}
	return float64(attempts) / float64(expected)
}

// countAttempt counts an attempt sent to an upstream while a fault lasts.
func (r *Result) countAttempt(s *server) {
	if !s.w.anyFaulty(s.engine == nil) {
		return
	}
	r.AttemptsDuringFaults++
	if s.faulty {
		r.AttemptsToFaulty++
	}
}

// anyFaulty reports whether a fault lasts at any upstream of the kind.
func (w *world) anyFaulty(service bool) bool {
	for _, s := range w.servers {
		if s.faulty && (s.engine == nil) == service {
			return true
		}
	}
	return false
}

// countRequest counts a caller's request.
func (r *Result) countRequest(j *job) {
	r.classOf(j).Requests++
	if j.measured && j.class.Version != "" {
		r.RequestsByOrg[j.org]++
		r.RequestedWork[j.org] += j.soloTime()
	}
}

// classOf returns the class result that counts the job.
func (r *Result) classOf(j *job) *ClassResult {
	if j.measured {
		for i := range r.Classes {
			if r.Classes[i].Name == j.class.Name {
				return &r.Classes[i]
			}
		}
	}
	return &r.Classes[len(r.Classes)-1]
}

// recordAnswer records an answer in time.
func (r *Result) recordAnswer(j *job, now, toClient time.Duration) {
	c := r.classOf(j)
	c.Completed++
	if j.cached {
		c.Cached++
	}
	_ = c.Total.RecordValue((now - j.receivedAt + 2*toClient).Microseconds())
	if j.class.Version == "" {
		return
	}
	firstToken := j.firstTokenAt - j.receivedAt + 2*toClient
	_ = c.FirstToken.RecordValue(firstToken.Microseconds())
	work := j.soloTime()
	if second := int(now / time.Second); second < len(r.Work) {
		r.Work[second] += work
	}
	if second := int(j.firstTokenAt / time.Second); second < len(r.Work) && j.priority() == 1 {
		r.FirstTokenBySecond[second] += firstToken.Seconds()
		r.firstTokenCount[second]++
	}
	if j.measured {
		r.WorkByOrg[j.org] += work
		r.AnsweredByOrg[j.org]++
	}
}

// computeMeans removes the entry for unmeasured requests and turns sums into means.
func (r *Result) computeMeans() {
	r.Classes = r.Classes[:len(r.Classes)-1]
	for i, n := range r.firstTokenCount {
		if n == 0 {
			r.FirstTokenBySecond[i] = math.NaN()
			continue
		}
		r.FirstTokenBySecond[i] /= float64(n)
	}
}

// Goodput returns the mean work per second between two times, in engine seconds.
func (r *Result) Goodput(from, until time.Duration) float64 {
	var sum float64
	for i := int(from / time.Second); i < int(until/time.Second); i++ {
		sum += r.Work[i]
	}
	return sum / (until - from).Seconds()
}

// HitRate returns the share of the class's answers whose prefix was cached, 0 to 1.
func (c *ClassResult) HitRate() float64 {
	if c.Completed == 0 {
		return 0
	}
	return float64(c.Cached) / float64(c.Completed)
}

// FirstTokenAt returns a quantile, q in [0,100], of the time to the first token.
func (c *ClassResult) FirstTokenAt(q float64) time.Duration {
	return time.Duration(c.FirstToken.ValueAtQuantile(q)) * time.Microsecond
}

// TotalAt returns a quantile, q in [0,100], of the total time.
func (c *ClassResult) TotalAt(q float64) time.Duration {
	return time.Duration(c.Total.ValueAtQuantile(q)) * time.Microsecond
}

// Class returns the result of a class, or nil if there is none.
func (r *Result) Class(name string) *ClassResult {
	for i := range r.Classes {
		if r.Classes[i].Name == name {
			return &r.Classes[i]
		}
	}
	return nil
}
