package sim

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
)

const (
	// meanFollowUpDelay is the mean delay from an answer to the session's next request.
	meanFollowUpDelay = 30 * time.Second
	// maxLatencyMillis is the upper bound of the latency histograms, in milliseconds.
	maxLatencyMillis = 10 * 60 * 1000
)

// job is one request of a caller.
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
	// step counts the plan's fallbacks begun so far. version and answer belong to the
	// current attempt; answer is a hidden value that truth maps to a quality.
	step    int
	version string
	answer  float64
	// rejectedVersion and rejectedScore describe the last answer below the threshold.
	rejectedVersion string
	rejectedScore   float64
	cost            float64
}

// start chooses versions and begins the first attempt. pinned holds the session's
// version, or is nil for a new session.
func (j *job) start(pinned []string) {
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
		req.Versions = j.allowedVersions()
	}
	j.plan = j.node.policy.Choose(req)
	if j.plan.Refusal != choice.RefuseNone {
		j.run.result.Refused++
		return
	}
	if j.plan.Exposed && !j.node.capLifted(j.plan.First) {
		j.run.result.ExposedAnswers[j.plan.First]++
	}
	j.attempt(j.plan.First)
}

func (j *job) allowedVersions() []string {
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
	for i := range j.run.result.Degradations {
		if t := &j.run.result.Degradations[i]; t.Change.Version == version && t.Change.Factor < 1 {
			t.Answers++
		}
	}
	j.answer = j.run.truth.answer(j.rng, version, j.class.Name, j.difficulty)
	j.cost += price(j.run.snapshot.Version(version), j.class.Name)
	started := j.run.now
	j.run.after(j.duration(version), func() { j.answered(started) })
}

// duration draws the time to answer. It grows with the output price, because expensive
// versions are assumed to be large.
func (j *job) duration(version string) time.Duration {
	l := loads[j.class.Name]
	sizeFactor := 1 + float64(j.run.snapshot.Version(version).OutputCost)/4000
	tokens := float64(l.outputTokens) * (0.8 + 0.4*j.rng.Float64())
	return time.Duration(sizeFactor * (float64(l.firstToken) + tokens*float64(l.perToken)))
}

func (j *job) answered(started time.Duration) {
	l := loads[j.class.Name]
	j.node.observeAnswer(choice.Answer{Version: j.version, Class: j.class.Name, Took: j.run.now - started, InputTokens: l.inputTokens, OutputTokens: l.outputTokens, Now: j.run.time()})
	if j.step < len(j.plan.Then) {
		j.requestRating(j.deliverOrFallBack)
		return
	}
	if j.plan.Rate {
		j.requestRating(func(float64, bool) {})
	}
	j.deliver()
}

// requestRating requests a rating of the current answer and calls done with its score;
// ok is false if the rating service fails.
func (j *job) requestRating(done func(score float64, ok bool)) {
	r := j.run
	r.result.Ratings++
	requestedAt := r.now
	version, answer, isFallback := j.version, j.answer, j.step > 0
	delay := time.Duration(j.rng.ExpFloat64() * float64(r.cfg.World.Delay))
	r.after(delay, func() {
		if r.cfg.ratingsDown(r.now) {
			j.node.observeRatingFailure(r.time())
			done(0, false)
			return
		}
		o := choice.Observation{Version: version, Class: j.class.Name, Sampled: j.plan.Rate, IsFallback: isFallback, Now: r.time(), Took: r.now - requestedAt}
		if isFallback {
			o.RejectedVersion, o.RejectedScore = j.rejectedVersion, j.rejectedScore
		}
		o.Score = r.truth.rating(j.rng, answer)
		if j.plan.RateAgain {
			o.HasAgain = true
			o.Again = r.truth.rating(j.rng, answer)
			r.result.Ratings++
		}
		j.node.observeRating(o)
		done(o.Score, true)
	})
}

// deliverOrFallBack delivers the answer if its score reaches the plan's threshold, and
// otherwise attempts the plan's next version.
func (j *job) deliverOrFallBack(score float64, ok bool) {
	if ok && score >= j.plan.Threshold {
		j.deliver()
		return
	}
	j.rejectedVersion, j.rejectedScore = j.version, score
	next := j.plan.Then[j.step]
	j.step++
	j.attempt(next)
}

func (j *job) deliver() {
	r := j.run
	p := r.orgClass(j.org, j.class)
	p.addAnswer(j.run.truth.quality(j.answer))
	p.Cost += j.cost
	p.BestCost += r.bestCost(j.class)
	cost, met := r.oracle.cost(j.class, p.Target, !r.cfg.ratingsDown(j.arrived))
	p.OracleCost += cost
	p.Reachable = p.Reachable && met
	j.recordLatency()
	j.scheduleFollowUp()
}

func (j *job) recordLatency() {
	c, ok := j.run.classes[j.class.Name]
	if !ok {
		c = &ClassResult{Class: j.class.Name, Latency: hdrhistogram.New(1, maxLatencyMillis, 3)}
		j.run.classes[j.class.Name] = c
	}
	c.Answers++
	if j.step > 0 {
		c.Cascaded++
	}
	_ = c.Latency.RecordValue((j.run.now - j.arrived).Milliseconds())
}

// scheduleFollowUp draws whether the session sends another request, at a random node.
func (j *job) scheduleFollowUp() {
	if j.rng.Float64() >= j.run.cfg.FollowUpShare {
		return
	}
	j.run.jobs++
	next := &job{run: j.run, id: j.run.jobs, org: j.org, class: j.class, rng: rand.New(rand.NewPCG(j.run.cfg.Seed^j.run.jobs, 5))}
	next.node = j.run.nodes[next.rng.IntN(len(j.run.nodes))]
	version := j.version
	wait := time.Duration(next.rng.ExpFloat64() * float64(meanFollowUpDelay))
	j.run.after(wait, func() { next.start([]string{version}) })
}
