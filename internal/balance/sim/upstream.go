package sim

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// server is one upstream: an engine, simulated by the stand-in's model, or a service
// with a number of slots and a queue.
type server struct {
	w      *world
	vm     platform.VM
	domain int
	engine *model.Engine
	wakeAt time.Duration // time of the scheduled advance
	armed  bool
	events []model.Event
	jobs   map[uint64]*job

	slots      int
	slowFactor float64
	busy       int
	queued     []*job

	// faulty is set while a fault lasts.
	faulty    bool
	down      bool
	declining bool
	// failShare is the share of requests that break off at once.
	failShare float64
}

func newEngine(w *world, vm platform.VM, domain int, seed uint64) (*server, error) {
	d := &w.cfg.Deployment
	base, slope := model.Steps(d.StepTime)
	e, err := model.New(model.Config{
		BatchLimit: d.BatchLimit, StepBase: base, StepSlope: slope, CacheEntries: d.CacheEntries, LoadLag: d.ReportAge, Seed: seed,
	})
	return &server{w: w, vm: vm, domain: domain, engine: e, jobs: map[uint64]*job{}}, err
}

// receive starts a job that has arrived and replies to its node.
func (s *server) receive(j *job) {
	switch {
	case s.down:
		s.w.sendReply(j, replyUnreached)
	case s.declining:
		s.w.sendReply(j, replyDeclined)
	case s.failShare > 0 && s.w.random.Float64() < s.failShare:
		s.w.sendReply(j, replyBroken)
	case s.engine == nil:
		s.startService(j)
	default:
		s.submit(j)
	}
}

func (s *server) submit(j *job) {
	s.advance()
	ticket, ok := s.engine.Submit(s.w.now, model.Request{
		ID: j.id, Priority: j.priority(), Prefix: j.prefix, Prefill: j.prefill, Tokens: j.tokens,
	})
	if !ok {
		s.w.sendReply(j, replyDeclined)
		return
	}
	j.ticket = ticket
	s.jobs[j.id] = j
	s.scheduleWake()
}

// advance advances the engine's model to the current time and sends the replies.
func (s *server) advance() {
	s.events = s.engine.Advance(s.w.now, s.events[:0])
	for _, e := range s.events {
		j := s.jobs[e.ID]
		if j == nil {
			continue
		}
		switch e.Kind {
		case model.First:
			j.cached = e.Cached
			s.w.sendReply(j, replyFirstToken)
		case model.Finished:
			delete(s.jobs, e.ID)
			s.w.sendReply(j, replyCompleted)
		}
	}
}

// scheduleWake schedules an advance at the time of the engine's next event.
func (s *server) scheduleWake() {
	at, ok := s.engine.Next()
	if !ok || (s.armed && s.wakeAt <= at) {
		return
	}
	s.armed = true
	s.wakeAt = at
	s.w.at(at, func() {
		if s.wakeAt != at {
			return
		}
		s.armed = false
		s.advance()
		s.scheduleWake()
	})
}

// cancel removes a job from the engine. Service calls run to their end.
func (s *server) cancel(j *job) {
	if s.engine == nil || s.jobs[j.id] != j {
		return
	}
	s.advance()
	delete(s.jobs, j.id)
	s.engine.Cancel(s.w.now, j.ticket)
	s.scheduleWake()
}

func (s *server) startService(j *job) {
	if s.busy >= s.slots {
		s.queued = append(s.queued, j)
		return
	}
	s.busy++
	work := j.prefill
	if s.slowFactor > 1 {
		work = time.Duration(float64(work) * s.slowFactor)
	}
	s.w.after(work, func() { s.finishService(j) })
}

func (s *server) finishService(j *job) {
	s.w.sendReply(j, replyCompleted)
	s.busy--
	if len(s.queued) > 0 {
		next := s.queued[0]
		s.queued = s.queued[1:]
		s.startService(next)
	}
}

func (s *server) crash() {
	s.down = true
	if s.engine == nil {
		return
	}
	s.advance()
	for _, j := range s.runningJobs() {
		s.w.sendReply(j, replyBroken)
	}
	clear(s.jobs)
	s.engine.Reset(s.w.now)
}

// runningJobs returns the jobs in the engine in order of their ID, so that a run does
// not depend on map order.
func (s *server) runningJobs() []*job {
	list := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return list
}

// report returns the upstream's load report.
func (s *server) report() upstream.LoadReport {
	if s.engine == nil {
		return upstream.LoadReport{Running: s.busy, Queued: len(s.queued), Limit: s.slots}
	}
	s.advance()
	s.scheduleWake()
	l := s.engine.Load(s.w.now)
	return upstream.LoadReport{
		Running: l.Running, Queued: l.Queued, Limit: s.w.cfg.Deployment.BatchLimit,
		Versions: s.w.versions, AgeMillis: s.w.cfg.Deployment.ReportAge.Milliseconds(),
	}
}
