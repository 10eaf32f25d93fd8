package sim

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// server is one upstream: an engine by the stand-in's model, or a plain
// service with some places and a queue.
type server struct {
	w      *world
	vm     platform.VM
	domain int
	engine *model.Engine
	wake   time.Duration // when the engine is to be looked at next
	armed  bool
	events []model.Event
	jobs   map[uint64]*job

	slots   int
	slow    float64
	busy    int
	waiting []*job

	// struck is set while a fault lasts.
	struck    bool
	down      bool
	declining bool
	// failing is the part of the requests that break at once.
	failing float64
}

func newEngine(w *world, vm platform.VM, domain int, seed uint64) (*server, error) {
	d := &w.cfg.Deployment
	base, slope := model.Steps(d.Gap)
	e, err := model.New(model.Config{
		BatchLimit: d.Batch, StepBase: base, StepSlope: slope, CacheEntries: d.Cache, LoadLag: d.Lag, Seed: seed,
	})
	return &server{w: w, vm: vm, domain: domain, engine: e, jobs: map[uint64]*job{}}, err
}

// take starts a job that has arrived; what is said of it is its answer.
func (s *server) take(j *job) {
	switch {
	case s.down:
		s.w.reply(j, unreached)
	case s.declining:
		s.w.reply(j, declined)
	case s.failing > 0 && s.w.random.Float64() < s.failing:
		s.w.reply(j, broken)
	case s.engine == nil:
		s.serve(j)
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
		s.w.reply(j, declined)
		return
	}
	j.ticket = ticket
	s.jobs[j.id] = j
	s.arm()
}

// advance carries the engine to now.
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
			s.w.reply(j, first)
		case model.Finished:
			delete(s.jobs, e.ID)
			s.w.reply(j, whole)
		}
	}
}

// arm looks at the engine again when something happens in it.
func (s *server) arm() {
	at, ok := s.engine.Next()
	if !ok || (s.armed && s.wake <= at) {
		return
	}
	s.armed = true
	s.wake = at
	s.w.at(at, func() {
		if s.wake != at {
			return
		}
		s.armed = false
		s.advance()
		s.arm()
	})
}

// cancel gives up a job.
func (s *server) cancel(j *job) {
	if s.engine == nil || s.jobs[j.id] != j {
		return
	}
	s.advance()
	delete(s.jobs, j.id)
	s.engine.Cancel(s.w.now, j.ticket)
	s.arm()
}

func (s *server) serve(j *job) {
	if s.busy >= s.slots {
		s.waiting = append(s.waiting, j)
		return
	}
	s.busy++
	work := j.prefill
	if s.slow > 1 {
		work = time.Duration(float64(work) * s.slow)
	}
	s.w.after(work, func() { s.served(j) })
}

func (s *server) served(j *job) {
	s.w.reply(j, whole)
	s.busy--
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.serve(next)
	}
}

func (s *server) crash() {
	s.down = true
	if s.engine == nil {
		return
	}
	s.advance()
	for _, j := range s.running() {
		s.w.reply(j, broken)
	}
	clear(s.jobs)
	s.engine.Reset(s.w.now)
}

// running are the jobs in the engine, in the order in which they came.
func (s *server) running() []*job {
	out := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return out
}

// report is what the upstream says of its load.
func (s *server) report() upstream.LoadReport {
	if s.engine == nil {
		return upstream.LoadReport{Running: s.busy, Queued: len(s.waiting), Limit: s.slots}
	}
	s.advance()
	s.arm()
	l := s.engine.Load(s.w.now)
	return upstream.LoadReport{
		Running: l.Running, Queued: l.Queued, Limit: s.w.cfg.Deployment.Batch,
		Versions: s.w.versions, AgeMillis: s.w.cfg.Deployment.Lag.Milliseconds(),
	}
}
