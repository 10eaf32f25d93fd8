package sim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
)

// The gap before an impatient caller comes back.
const impatientGap = 100 * time.Millisecond

// rate is the requests a second at a time.
func (w *world) rate(at time.Duration) float64 {
	r := w.cfg.Load * w.cfg.Deployment.Capacity()
	if s := w.cfg.Surge; s.Factor > 0 && at >= s.From && at < s.Until {
		r *= s.Factor
	}
	return r
}

// arrivals sends requests at random gaps until the run's length is over.
func (w *world) arrivals() {
	gap := w.exponential(time.Duration(float64(time.Second) / w.rate(w.now)))
	w.after(gap, func() {
		if w.now >= w.cfg.Length {
			return
		}
		w.arrive()
		w.arrivals()
	})
}

func (w *world) arrive() {
	w.jobs++
	j := &job{id: w.jobs, class: w.drawClass(), org: w.drawOrg(), counted: w.counts()}
	c := j.class
	if c.Service != "" {
		j.prefill = w.exponential(c.Work)
	} else {
		j.prefill = time.Duration(float64(c.Prefill) * w.vary(c.Spread))
		j.tokens = max(1, int(float64(c.Tokens)*w.vary(c.Spread)))
		j.prefix = w.drawPrefix(j)
	}
	w.result.asked(j)
	w.offer(j)
}

// counts says whether a request that comes now is for the result.
func (w *world) counts() bool {
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
	part := func(i int) float64 {
		if i == 0 && w.cfg.Flood > 0 {
			return demand[0] * w.cfg.Flood
		}
		return demand[i]
	}
	var sum float64
	for i := range demand {
		sum += part(i)
	}
	x := w.random.Float64() * sum
	for i := range demand {
		x -= part(i)
		if x < 0 {
			return i
		}
	}
	return len(demand) - 1
}

// drawPrefix names the shared prefix of the job's prompt. A popular one of
// rank k is drawn with a chance of some 1/k; others in turn of time, as
// dossiers are opened and closed.
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

// offer is a caller's try at some node.
func (w *world) offer(j *job) {
	j.node = w.nodes[w.random.IntN(len(w.nodes))]
	j.offered = w.now
	j.deadline = w.now + j.class.Deadline
	j.over = false
	j.running = false
	j.attempts = 0
	j.exclude = nil
	try := j.tries
	w.at(j.deadline, func() {
		if j.over || j.tries != try {
			return
		}
		j.node.expire(j)
		j.over = true
		w.result.of(j).Late++
	})
	w.result.of(j).Offers++
	if j.class.Version != "" && j.tries == 0 {
		w.result.at(w.now).offers++
	}
	j.node.offer(j)
}

func (w *world) refused(j *job, retryAfter time.Duration) {
	j.over = true
	w.result.of(j).Refused++
	w.comeBack(j, retryAfter)
}

func (w *world) failed(j *job, retryAfter time.Duration) {
	j.over = true
	w.result.of(j).Failed++
	w.comeBack(j, retryAfter)
}

// comeBack is what the caller does after a refusal or failure.
func (w *world) comeBack(j *job, retryAfter time.Duration) {
	if j.tries >= w.cfg.CallerRetries {
		return
	}
	if w.cfg.Impatient {
		retryAfter = impatientGap + w.exponential(impatientGap)
	}
	w.after(retryAfter, func() {
		j.tries++
		w.offer(j)
	})
}

func (w *world) completed(j *job) {
	j.over = true
	w.result.record(j, w.now, w.cfg.Deployment.ToClient)
}

// costOf is the job's expected time in a place, relative to the mean.
func (w *world) costOf(j *job) float64 {
	if j.class.Version == "" {
		return 1
	}
	if w.meanCost == 0 {
		w.meanCost = w.meanModelCost()
	}
	return classCost(j.class) / w.meanCost
}

// classCost is the seconds that a request of the class runs alone.
func classCost(c *Class) float64 { return c.Prefill.Seconds() + float64(c.Tokens)*assumedGap.Seconds() }

func (w *world) meanModelCost() float64 {
	var sum, share float64
	for i := range w.cfg.Deployment.Classes {
		if c := &w.cfg.Deployment.Classes[i]; c.Version != "" {
			sum += c.Share * classCost(c)
			share += c.Share
		}
	}
	return sum / share
}
