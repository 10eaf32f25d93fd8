package sim

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a run gave.
type Result struct {
	Classes []ClassResult
	// Polls and Attempts count messages to upstreams.
	Polls    int
	Attempts int
	// Admitted counts the tries that were sent to an upstream, Broken the
	// attempts that broke off.
	Admitted int
	Broken   int
	// ToStruck are the attempts sent to upstreams while a fault lasted there,
	// WhileStruck all attempts meanwhile at upstreams of the same kind.
	ToStruck    int
	WhileStruck int
	// AskedByOrg and AnsweredByOrg count model requests from the warm-up on.
	AskedByOrg    []int
	AnsweredByOrg []int
	// AskedWork is WorkByOrg had all been answered.
	AskedWork []float64
	// Work is the seconds of engine time that answers in time were worth, by
	// second of the run; WorkByOrg is its sum from the warm-up on.
	Work      []float64
	WorkByOrg []float64
	// FirstBySecond is the mean time to the first token of heavy model work,
	// by the second in which it came.
	FirstBySecond []float64
	firstCount    []int
	seconds       []second
	warmup        time.Duration
}

// ClassResult is what became of one class from the warm-up on. Times are from
// the offer at a node, refusals before it left out.
type ClassResult struct {
	Name string
	// Requests are the callers', Offers their tries, Refused, Failed and Late
	// the ends of tries, Completed the answers in time.
	Requests, Offers, Refused, Failed, Late, Completed int
	Cached                                             int
	// First and Total are in microseconds.
	First *hdrhistogram.Histogram
	Total *hdrhistogram.Histogram
}

const longest = int64(10 * time.Minute / time.Microsecond)

func newResult(cfg *Config) *Result {
	seconds := int(cfg.Length/time.Second) + 300
	r := &Result{
		warmup: cfg.Warmup, Work: make([]float64, seconds), FirstBySecond: make([]float64, seconds),
		firstCount: make([]int, seconds), WorkByOrg: make([]float64, len(cfg.Deployment.Demand)),
		AskedByOrg: make([]int, len(cfg.Deployment.Demand)), AnsweredByOrg: make([]int, len(cfg.Deployment.Demand)),
		AskedWork: make([]float64, len(cfg.Deployment.Demand)),
		seconds:   make([]second, seconds),
	}
	for _, c := range cfg.Deployment.Classes {
		r.Classes = append(r.Classes, ClassResult{
			Name: c.Name, First: hdrhistogram.New(1, longest, 3), Total: hdrhistogram.New(1, longest, 3),
		})
	}
	// One more takes what comes before the warm-up.
	r.Classes = append(r.Classes, ClassResult{First: hdrhistogram.New(1, longest, 1), Total: hdrhistogram.New(1, longest, 1)})
	return r
}

// second counts what was tried within one second of the run.
type second struct {
	offers   int
	attempts int
}

func (r *Result) at(now time.Duration) *second {
	return &r.seconds[min(int(now/time.Second), len(r.seconds)-1)]
}

// attemptsFor is how many attempts were made for each caller's request that
// would usually come, from one time to another.
func (r *Result) attemptsFor(from, until time.Duration) float64 {
	var attempts, usual int
	for s := int(from / time.Second); s < int(until/time.Second); s++ {
		attempts += r.seconds[s].attempts
		usual += r.seconds[s-int((until-from)/time.Second)].offers
	}
	return float64(attempts) / float64(usual)
}

// sent counts an attempt that goes to an upstream.
func (r *Result) sent(s *server) {
	if !s.w.struck(s.engine == nil) {
		return
	}
	r.WhileStruck++
	if s.struck {
		r.ToStruck++
	}
}

// struck says whether a fault lasts at an upstream of that kind.
func (w *world) struck(service bool) bool {
	for _, s := range w.servers {
		if s.struck && (s.engine == nil) == service {
			return true
		}
	}
	return false
}

// asked counts a caller's request.
func (r *Result) asked(j *job) {
	r.of(j).Requests++
	if j.counted && j.class.Version != "" {
		r.AskedByOrg[j.org]++
		r.AskedWork[j.org] += j.work()
	}
}

// of is where the job counts.
func (r *Result) of(j *job) *ClassResult {
	if j.counted {
		for i := range r.Classes {
			if r.Classes[i].Name == j.class.Name {
				return &r.Classes[i]
			}
		}
	}
	return &r.Classes[len(r.Classes)-1]
}

func (r *Result) record(j *job, now, toClient time.Duration) {
	c := r.of(j)
	c.Completed++
	if j.cached {
		c.Cached++
	}
	_ = c.Total.RecordValue((now - j.offered + 2*toClient).Microseconds())
	if j.class.Version == "" {
		return
	}
	wait := j.first - j.offered + 2*toClient
	_ = c.First.RecordValue(wait.Microseconds())
	work := j.work()
	if second := int(now / time.Second); second < len(r.Work) {
		r.Work[second] += work
	}
	if second := int(j.first / time.Second); second < len(r.Work) && j.priority() == 1 {
		r.FirstBySecond[second] += wait.Seconds()
		r.firstCount[second]++
	}
	if j.counted {
		r.WorkByOrg[j.org] += work
		r.AnsweredByOrg[j.org]++
	}
}

// close turns sums into means.
func (r *Result) close() {
	r.Classes = r.Classes[:len(r.Classes)-1]
	for i, n := range r.firstCount {
		if n == 0 {
			r.FirstBySecond[i] = math.NaN()
			continue
		}
		r.FirstBySecond[i] /= float64(n)
	}
}

// Goodput is the mean work a second from one time to another.
func (r *Result) Goodput(from, until time.Duration) float64 {
	var sum float64
	for i := int(from / time.Second); i < int(until/time.Second); i++ {
		sum += r.Work[i]
	}
	return sum / (until - from).Seconds()
}

// HitRate is the part of the class's answers whose prefix was cached.
func (c *ClassResult) HitRate() float64 {
	if c.Completed == 0 {
		return 0
	}
	return float64(c.Cached) / float64(c.Completed)
}

// FirstAt and TotalAt are quantiles in [0,100].
func (c *ClassResult) FirstAt(q float64) time.Duration {
	return time.Duration(c.First.ValueAtQuantile(q)) * time.Microsecond
}

// TotalAt is a quantile of the whole time, q in [0,100].
func (c *ClassResult) TotalAt(q float64) time.Duration {
	return time.Duration(c.Total.ValueAtQuantile(q)) * time.Microsecond
}

// Class returns the result of that class, or nil.
func (r *Result) Class(name string) *ClassResult {
	for i := range r.Classes {
		if r.Classes[i].Name == name {
			return &r.Classes[i]
		}
	}
	return nil
}
