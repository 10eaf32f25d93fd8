package sim

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
)

const (
	// followUp is the mean time until a session's next request.
	followUp = 30 * time.Second
	// slowest is the longest latency that a histogram tells, in milliseconds.
	slowest = 10 * 60 * 1000
)

// job is one request.
type job struct {
	run        *run
	node       *node
	id         uint64
	org        *config.Organisation
	class      *config.Class
	rng        *rand.Rand
	difficulty float64
	plan       choice.Plan
	arrived    time.Duration
	// attempt state
	step    int
	version string
	answer  float64
	// shortVersion and shortScore are of the answer that fell short
	shortVersion string
	shortScore   float64
	cost         float64
}

// begin chooses and runs; pinned is the version of the session, if any.
func (j *job) begin(pinned []string) {
	j.arrived = j.run.now
	j.difficulty = j.rng.NormFloat64()
	req := choice.Request{
		Snapshot: j.run.snapshot,
		Org:      j.org,
		Class:    j.class,
		Versions: pinned,
		Pinned:   pinned != nil,
		Now:      j.run.time(),
		Slack:    time.Duration(j.class.DeadlineMillis) * time.Millisecond,
		Random:   j.rng.Uint64(),
	}
	if pinned == nil {
		req.Versions = j.allowed()
	}
	j.plan = j.node.policy.Choose(req)
	if j.plan.Refusal != choice.RefuseNone {
		j.run.result.Refused++
		return
	}
	if j.plan.Exposed && !j.node.open(j.plan.First) {
		j.run.result.Exposed[j.plan.First]++
	}
	j.attempt(j.plan.First)
}

func (j *job) allowed() []string {
	var list []string
	for _, name := range j.org.Versions {
		if j.class.Model == "" || j.run.snapshot.ModelOf(name).Name == j.class.Model {
			list = append(list, name)
		}
	}
	return list
}

func (j *job) attempt(version string) {
	j.version = version
	for i := range j.run.result.Turns {
		if t := &j.run.result.Turns[i]; t.Change.Version == version && t.Change.Factor < 1 {
			t.Bad++
		}
	}
	j.answer = j.run.truth.answer(j.rng, version, j.class.Name, j.difficulty)
	j.cost += price(j.run.snapshot.Version(version), j.class.Name)
	started := j.run.now
	j.run.after(j.duration(version), func() { j.answered(started) })
}

// duration grows with the version's price: dear versions are large.
func (j *job) duration(version string) time.Duration {
	l := loads[j.class.Name]
	size := 1 + float64(j.run.snapshot.Version(version).OutputCost)/4000
	tokens := float64(l.output) * (0.8 + 0.4*j.rng.Float64())
	return time.Duration(size * (float64(l.first) + tokens*float64(l.token)))
}

func (j *job) answered(started time.Duration) {
	l := loads[j.class.Name]
	j.node.answered(choice.Answer{Version: j.version, Class: j.class.Name, Took: j.run.now - started, InputTokens: l.input, OutputTokens: l.output, Now: j.run.time()})
	if j.step < len(j.plan.Then) {
		j.rate(j.judge)
		return
	}
	if j.plan.Rate {
		j.rate(func(float64, bool) {})
	}
	j.deliver()
}

// rate asks for a rating of the present answer and goes on when it has come.
func (j *job) rate(then func(score float64, ok bool)) {
	r := j.run
	r.result.Ratings++
	asked := r.now
	version, answer, after := j.version, j.answer, j.step > 0
	delay := time.Duration(j.rng.ExpFloat64() * float64(r.cfg.World.Delay))
	r.after(delay, func() {
		if r.cfg.ratingsDown(r.now) {
			j.node.ratingFailed(r.time())
			then(0, false)
			return
		}
		o := choice.Observation{Version: version, Class: j.class.Name, Sampled: j.plan.Rate, IsFallback: after, Now: r.time(), Took: r.now - asked}
		if after {
			o.RejectedVersion, o.RejectedScore = j.shortVersion, j.shortScore
		}
		o.Score = r.truth.rating(j.rng, answer)
		if j.plan.RateAgain {
			o.HasAgain = true
			o.Again = r.truth.rating(j.rng, answer)
			r.result.Ratings++
		}
		j.node.observe(o)
		then(o.Score, true)
	})
}

func (j *job) judge(score float64, ok bool) {
	if ok && score >= j.plan.Threshold {
		j.deliver()
		return
	}
	j.shortVersion, j.shortScore = j.version, score
	next := j.plan.Then[j.step]
	j.step++
	j.attempt(next)
}

func (j *job) deliver() {
	r := j.run
	p := r.part(j.org, j.class)
	p.answer(j.run.truth.quality(j.answer))
	p.Cost += j.cost
	p.Best += r.bestCost(j.class)
	cost, met := r.oracle.cost(j.class, p.Target, !r.cfg.ratingsDown(j.arrived))
	p.Oracle += cost
	p.Reachable = p.Reachable && met
	j.latency()
	j.followUp()
}

func (j *job) latency() {
	c, ok := j.run.classes[j.class.Name]
	if !ok {
		c = &ClassResult{Class: j.class.Name, Latency: hdrhistogram.New(1, slowest, 3)}
		j.run.classes[j.class.Name] = c
	}
	c.Answers++
	if j.step > 0 {
		c.Cascaded++
	}
	_ = c.Latency.RecordValue((j.run.now - j.arrived).Milliseconds())
}

// followUp lets the session go on, at any node.
func (j *job) followUp() {
	if j.rng.Float64() >= j.run.cfg.Sessions {
		return
	}
	j.run.jobs++
	next := &job{run: j.run, id: j.run.jobs, org: j.org, class: j.class, rng: rand.New(rand.NewPCG(j.run.cfg.Seed^j.run.jobs, 5))}
	next.node = j.run.nodes[next.rng.IntN(len(j.run.nodes))]
	version := j.version
	wait := time.Duration(next.rng.ExpFloat64() * float64(followUp))
	j.run.after(wait, func() { next.begin([]string{version}) })
}
