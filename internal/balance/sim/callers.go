package sim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
)

// impatientRetryDelay is the minimum delay, and the mean of the random part added to
// it, before a caller that ignores Retry-After tries again.
const impatientRetryDelay = 100 * time.Millisecond

// requestRate returns the requests per second at a time.
func (w *world) requestRate(at time.Duration) float64 {
	r := w.cfg.Load * w.cfg.Deployment.Capacity()
	if s := w.cfg.Surge; s.Factor > 0 && at >= s.From && at < s.Until {
		r *= s.Factor
	}
	return r
}

// scheduleArrivals starts requests as a Poisson process until the end of the run.
func (w *world) scheduleArrivals() {
	gap := w.drawExponential(time.Duration(float64(time.Second) / w.requestRate(w.now)))
	w.after(gap, func() {
		if w.now >= w.cfg.Duration {
			return
		}
		w.startRequest()
		w.scheduleArrivals()
	})
}

// startRequest draws a request and sends its first try.
func (w *world) startRequest() {
	w.jobCount++
	j := &job{id: w.jobCount, class: w.drawClass(), org: w.drawOrg(), measured: w.isMeasured()}
	c := j.class
	if c.Service != "" {
		j.prefill = w.drawExponential(c.ServiceTime)
	} else {
		j.prefill = time.Duration(float64(c.Prefill) * w.drawFactor(c.Spread))
		j.tokens = max(1, int(float64(c.Tokens)*w.drawFactor(c.Spread)))
		j.prefix = w.drawPrefix(j)
	}
	w.result.countRequest(j)
	w.sendTry(j)
}

// isMeasured reports whether a request that arrives now counts in the result.
func (w *world) isMeasured() bool {
	return w.now >= w.cfg.Warmup && (w.cfg.CountUntil == 0 || w.now < w.cfg.CountUntil)
}

func (w *world) drawClass() *Class {
	list := w.cfg.Deployment.Classes
	x := w.random.Float64()
	for i := range list {
		x -= list[i].Share
		if x < 0 {
			return &list[i]
		}
	}
	return &list[len(list)-1]
}

func (w *world) drawOrg() int {
	demand := w.cfg.Deployment.Demand
	demandOf := func(i int) float64 {
		if i == 0 && w.cfg.FloodFactor > 0 {
			return demand[0] * w.cfg.FloodFactor
		}
		return demand[i]
	}
	var sum float64
	for i := range demand {
		sum += demandOf(i)
	}
	x := w.random.Float64() * sum
	for i := range demand {
		x -= demandOf(i)
		if x < 0 {
			return i
		}
	}
	return len(demand) - 1
}

// drawPrefix draws the shared prefix of the job's prompt. In popular classes the prefix
// of rank k has a probability of about 1/k. In others the set of prefixes shifts with
// time, as dossiers are opened and closed.
func (w *world) drawPrefix(j *job) uint64 {
	c := j.class
	var k uint64
	if c.Popular {
		x := w.random.Float64()
		k = uint64(x * x * x * float64(c.Prefixes))
	} else {
		const openFor = 2 * time.Minute
		k = uint64(w.random.IntN(c.Prefixes)) + uint64(w.now/openFor)*uint64(c.Prefixes/2)
	}
	return model.Draw(uint64(j.org)<<32|uint64(len(c.Name))<<24|uint64(c.Name[0])<<16, k) | 1
}

// sendTry sends a try of the job to a random node and schedules its deadline.
func (w *world) sendTry(j *job) {
	j.node = w.nodes[w.random.IntN(len(w.nodes))]
	j.receivedAt = w.now
	j.deadline = w.now + j.class.Deadline
	j.ended = false
	j.running = false
	j.attempts = 0
	j.exclude = nil
	tryIndex := j.tries
	w.at(j.deadline, func() {
		if j.ended || j.tries != tryIndex {
			return
		}
		j.node.expire(j)
		j.ended = true
		w.result.classOf(j).Late++
	})
	w.result.classOf(j).Offers++
	if j.class.Version != "" && j.tries == 0 {
		w.result.secondAt(w.now).offers++
	}
	j.node.offer(j)
}

func (w *world) tryRefused(j *job, retryAfter time.Duration) {
	j.ended = true
	w.result.classOf(j).Refused++
	w.retryByCaller(j, retryAfter)
}

func (w *world) tryFailed(j *job, retryAfter time.Duration) {
	j.ended = true
	w.result.classOf(j).Failed++
	w.retryByCaller(j, retryAfter)
}

// retryByCaller schedules the caller's next try after a refusal or a failure, if it has
// any left.
func (w *world) retryByCaller(j *job, retryAfter time.Duration) {
	if j.tries >= w.cfg.CallerRetries {
		return
	}
	if w.cfg.IgnoreRetryAfter {
		retryAfter = impatientRetryDelay + w.drawExponential(impatientRetryDelay)
	}
	w.after(retryAfter, func() {
		j.tries++
		w.sendTry(j)
	})
}

func (w *world) tryCompleted(j *job) {
	j.ended = true
	w.result.recordAnswer(j, w.now, w.cfg.Deployment.ClientDelay)
}

// relativeCost returns the expected time that the job occupies a slot, relative to the
// mean of model requests.
func (w *world) relativeCost(j *job) float64 {
	if j.class.Version == "" {
		return 1
	}
	if w.meanCost == 0 {
		w.meanCost = w.meanModelSoloTime()
	}
	return soloTime(j.class) / w.meanCost
}

// soloTime returns the mean seconds that a request of the class takes on an
// engine without other requests.
func soloTime(c *Class) float64 { return c.Prefill.Seconds() + float64(c.Tokens)*assumedStep.Seconds() }

func (w *world) meanModelSoloTime() float64 {
	var sum, share float64
	for i := range w.cfg.Deployment.Classes {
		if c := &w.cfg.Deployment.Classes[i]; c.Version != "" {
			sum += c.Share * soloTime(c)
			share += c.Share
		}
	}
	return sum / share
}
