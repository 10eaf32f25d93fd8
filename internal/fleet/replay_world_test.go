package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// replay is a load pattern played in virtual time over the cores of a few
// nodes and upstreams that read prompts one after the other.
type replay struct {
	site      site
	nodes     []*Fleet
	upstreams map[string]*simUpstream
	events    eventQueue
	now       time.Time
	rnd       *rand.Rand
	choose    chooser
	waits     []wait
	lost      int
	// ranked upstreams read what has the lower rank first; patient nodes never
	// move an attempt.
	ranked, patient bool
	moves           int
	// alwaysRanked gives attempts at full upstreams their ranks as well.
	alwaysRanked bool
	// preempted counts running answers that were stopped for more urgent ones.
	preempted int
}

// wait is how long a request waited for its answer to begin.
type wait struct {
	at   time.Time
	took time.Duration
	d    demand
}

// chooser picks an upstream for an attempt; tests compare several.
type chooser func(r *replay, node int, w AttemptSpec) *Upstream

// simUpstream is one upstream as it really is: it reads one prompt at a time.
type simUpstream struct {
	queue   []*simJob
	reading *simJob
	running int
	// answers are the jobs that run, where the site preempts.
	answers []*simJob
	down    time.Time // it is gone until then
	parts   map[string]time.Time
	epoch   int
}

// simJob is an attempt at an upstream.
type simJob struct {
	node  *Fleet
	up    *Upstream
	work  *Work
	want  AttemptSpec
	d     demand
	since time.Time
	rank  int
	// run tells the runs of a job apart that was stopped and goes on later.
	run int
}

func (u *simUpstream) waiting() int {
	if u.reading == nil {
		return len(u.queue)
	}
	return len(u.queue) + 1
}

const (
	simNodes = 6
	// answerTime is how long an answer takes once it has begun.
	answerTime = 1500 * time.Millisecond
	// partStays is how long an upstream keeps a part.
	partStays = 6 * time.Second
)

// site is what a pattern is played on.
type site struct {
	nodes, upstreams, slots int
	// readRate is the tokens that an upstream reads in a second, at weight 1.
	readRate float64
	// flights is how often nodes hear what all have under way; 0 for never.
	flights time.Duration
	// preempts is set where a more urgent request takes the slot of a running one.
	preempts bool
	// answerTime is how long an answer takes once it has begun; 0 for the usual time.
	answerTime time.Duration
}

func (s *site) answers() time.Duration {
	if s.answerTime > 0 {
		return s.answerTime
	}
	return answerTime
}

// usualSite is what most patterns are played on.
var usualSite = site{nodes: simNodes, upstreams: 18, slots: 48, readRate: 22000, flights: 200 * time.Millisecond}

// demand is one request of a pattern.
type demand struct {
	tokens int
	weight float64
	part   string
	shared int
}

func newReplay(seed uint64, at site, choose chooser) *replay {
	r := &replay{site: at, upstreams: map[string]*simUpstream{}, now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(seed, 7)), choose: choose}
	for range at.nodes {
		f := New(Settings{Domain: "d0"})
		for i := range at.upstreams {
			f.Put(Record{ID: fmt.Sprintf("u%02d", i), Service: "s", Domain: fmt.Sprintf("d%d", i%4), Version: "v1", Slots: at.slots}, r.now)
		}
		r.nodes = append(r.nodes, f)
	}
	for i := range at.upstreams {
		r.upstreams[fmt.Sprintf("u%02d", i)] = &simUpstream{parts: map[string]time.Time{}}
	}
	if at.flights > 0 {
		r.after(at.flights, r.flights)
	}
	return r
}

type event struct {
	at time.Time
	do func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, k int) bool { return q[i].at.Before(q[k].at) }
func (q eventQueue) Swap(i, k int)      { q[i], q[k] = q[k], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (r *replay) after(d time.Duration, do func()) { heap.Push(&r.events, event{r.now.Add(d), do}) }

// flights tells all nodes what all had under way half a round before.
func (r *replay) flights() {
	all := make([]Flight, len(r.nodes))
	for i, f := range r.nodes {
		all[i] = f.Flight()
	}
	sum := Sum(all...)
	r.after(r.site.flights/2, func() {
		for i, f := range r.nodes {
			f.TakeFlight(sum, all[i], r.now)
		}
	})
	r.after(r.site.flights, r.flights)
}

// arrivals plays a pattern: rate is the requests a second at a time from the
// start, draw what the next one is.
func (r *replay) arrivals(length time.Duration, rate func(at time.Duration) float64, draw func(at time.Duration) demand) {
	start := r.now
	end := start.Add(length)
	var next func()
	next = func() {
		at := r.now.Sub(start)
		r.request(draw(at), r.now, nil)
		r.after(time.Duration(r.rnd.ExpFloat64()/rate(at)*float64(time.Second)), next)
	}
	r.after(0, next)
	for len(r.events) > 0 && r.events[0].at.Before(end) {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
}

// request sends a demand from one of the nodes; tried are upstreams that were
// found dead.
func (r *replay) request(d demand, since time.Time, tried []string) {
	node := r.rnd.IntN(len(r.nodes))
	f := r.nodes[node]
	w := AttemptSpec{Service: "s", Model: "m", Weight: d.weight, Tokens: d.tokens, Seed: r.rnd.Uint64(), Tried: tried}
	if d.part != "" {
		w.Parts = []Part{{ID: d.part, Tokens: d.shared}}
	}
	u := r.choose(r, node, w)
	if u == nil {
		r.lost++
		return
	}
	usual := f.Delay(&w, r.now)
	job := &simJob{node: f, up: u, want: w, d: d, since: since, rank: r.rank(f, u, &w)}
	job.work = f.Begin(u, &w, r.now)
	sim := r.upstreams[u.ID]
	if r.now.Before(sim.down) {
		r.again(job, Unreached)
		return
	}
	sim.queue = append(sim.queue, job)
	r.read(sim)
	if usual > 0 && len(tried) == 0 && !r.patient {
		r.after(max(4*usual, 300*time.Millisecond), func() { r.move(sim, job) })
	}
}

// rank is the rank of an attempt at an upstream.
func (r *replay) rank(f *Fleet, u *Upstream, w *AttemptSpec) int {
	if r.alwaysRanked {
		idle := *u
		idle.inFlight, idle.othersFlight, idle.reported = 0, 0, 0
		u = &idle
	}
	return f.Rank(u, w, 0, r.now)
}

// again sends a job whose attempt ended without an answer to another upstream.
func (r *replay) again(job *simJob, result Result) {
	job.node.End(job.up, job.work, result, r.now)
	r.request(job.d, job.since, append(slices.Clone(job.want.Tried), job.up.ID))
}

// move takes a job that still waits to another upstream.
func (r *replay) move(sim *simUpstream, job *simJob) {
	i := slices.Index(sim.queue, job)
	if i < 0 {
		return // it is being read, or has been
	}
	sim.queue = slices.Delete(sim.queue, i, i+1)
	r.moves++
	r.again(job, Moved)
}

// read begins to read the next prompt.
func (r *replay) read(sim *simUpstream) {
	if sim.reading != nil || len(sim.queue) == 0 {
		return
	}
	next := 0
	for i, job := range sim.queue {
		if r.ranked && job.rank < sim.queue[next].rank {
			next = i
		}
	}
	job := sim.queue[next]
	if sim.running >= r.site.slots && !r.preempt(sim, job.rank) {
		return
	}
	sim.queue = slices.Delete(sim.queue, slices.Index(sim.queue, job), slices.Index(sim.queue, job)+1)
	sim.reading = job
	tokens := job.d.tokens
	if job.d.part != "" && r.now.Sub(sim.parts[job.d.part]) < partStays {
		tokens -= job.d.shared
	}
	sim.parts[job.d.part] = r.now
	epoch := sim.epoch
	r.after(time.Duration(float64(tokens)*job.d.weight/r.site.readRate*float64(time.Second)), func() {
		if sim.epoch == epoch {
			r.answer(sim, job)
		}
	})
}

// preempt stops the least urgent running answer for one of a rank, if it is less urgent;
// it is read again and begins anew.
func (r *replay) preempt(sim *simUpstream, rank int) bool {
	if !r.site.preempts || len(sim.answers) == 0 {
		return false
	}
	victim := slices.MaxFunc(sim.answers, func(a, b *simJob) int { return a.rank - b.rank })
	if victim.rank <= rank {
		return false
	}
	sim.answers = slices.DeleteFunc(sim.answers, func(j *simJob) bool { return j == victim })
	sim.running--
	victim.run++
	sim.queue = append(sim.queue, victim)
	r.preempted++
	return true
}

// answer begins the answer to a prompt that has been read.
func (r *replay) answer(sim *simUpstream, job *simJob) {
	sim.reading = nil
	sim.running++
	job.node.Started(job.up, job.work, r.now)
	job.node.Report(job.up, sim.running, sim.waiting(), r.now)
	if job.run == 0 {
		r.waits = append(r.waits, wait{job.since, r.now.Sub(job.since), job.d})
	}
	sim.answers = append(sim.answers, job)
	epoch, run := sim.epoch, job.run
	r.after(r.site.answers(), func() {
		if job.run != run {
			return // it was stopped
		}
		if sim.epoch == epoch {
			sim.running--
			sim.answers = slices.DeleteFunc(sim.answers, func(j *simJob) bool { return j == job })
			r.read(sim)
		}
		job.node.End(job.up, job.work, Served, r.now)
	})
	r.read(sim)
}

// crash takes upstreams down for a time.
func (r *replay) crash(count int, at, length time.Duration) {
	r.after(at, func() {
		for i := range count {
			sim := r.upstreams[fmt.Sprintf("u%02d", i)]
			lost := sim.queue
			if sim.reading != nil {
				lost = append(lost, sim.reading)
			}
			*sim = simUpstream{down: r.now.Add(length), parts: map[string]time.Time{}, epoch: sim.epoch + 1}
			for _, job := range lost {
				r.again(job, Unreached)
			}
		}
	})
}

// quantile is the wait that a share of the requests stays within, among those
// that came in a span of the pattern and that which picks; nil picks all.
func (r *replay) quantile(share float64, from, to time.Duration, which func(d demand) bool) time.Duration {
	start := time.Unix(1000, 0)
	var all []time.Duration
	for _, w := range r.waits {
		if at := w.at.Sub(start); at >= from && at < to && (which == nil || which(w.d)) {
			all = append(all, w.took)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(share*float64(len(all))), len(all)-1)]
}

// The ways to choose that are compared.
var (
	byWork chooser = func(r *replay, node int, w AttemptSpec) *Upstream { return r.nodes[node].Choose(w, r.now) }
	// byOwnCount takes the upstream with the fewest attempts of the node.
	byOwnCount chooser = func(r *replay, node int, w AttemptSpec) *Upstream {
		var best *Upstream
		for _, u := range r.nodes[node].able(&w, r.now) {
			if best == nil || u.InFlight() < best.InFlight() {
				best = u
			}
		}
		return best
	}
	// byLoadOfAll takes the upstream with the least reported load of all.
	byLoadOfAll chooser = func(r *replay, node int, w AttemptSpec) *Upstream {
		var best *Upstream
		for _, u := range r.nodes[node].able(&w, r.now) {
			if best == nil || u.load(r.now) < best.load(r.now) {
				best = u
			}
		}
		return best
	}
)
