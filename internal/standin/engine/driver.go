package engine

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
)

// sweepInterval is the longest time between two sweeps of unread streams.
const sweepInterval = time.Second

// runDriver advances the model engine with the clock until the server closes.
func (s *Server) runDriver() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-s.wake:
		case <-s.baseCtx.Done():
			return
		}
		timer.Reset(s.runDue())
	}
}

// runDue does the work that is due, and returns the time until more is due.
func (s *Server) runDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restartIfDue()
	s.advanceModel()
	if s.clock.frozen {
		return sweepInterval
	}
	s.sweep()
	return s.untilNext()
}

func (s *Server) untilNext() time.Duration {
	wait := min(sweepInterval, s.settings.ResumeGrace)
	if at, ok := s.engine.Next(); ok {
		wait = min(wait, at-s.clock.now())
	}
	if !s.restartAt.IsZero() {
		wait = min(wait, time.Until(s.restartAt))
	}
	return max(wait, 0)
}

// advanceModel advances the model engine to the current time and applies its events.
func (s *Server) advanceModel() {
	s.events = s.engine.Advance(s.clock.now(), s.events[:0])
	for _, ev := range s.events {
		g := s.running[ev.ID]
		if g == nil {
			continue
		}
		if ev.Kind == model.Started && g.crashes {
			s.startRun(g)
			s.crash(g)
			return
		}
		s.apply(ev, g)
	}
}

func (s *Server) apply(ev model.Event, g *generation) {
	switch ev.Kind {
	case model.Started:
		s.startRun(g)
	case model.First, model.Token:
		g.setProduced(int(ev.Count), ev.Cached)
		if g.failAfter > 0 && int(ev.Count) >= g.failAfter {
			s.engine.Cancel(ev.At, ev.Ticket)
			s.finish(g, genFailed, RunFailed)
		}
	case model.Finished:
		s.finish(g, genDone, RunCompleted)
	}
}

func (s *Server) finish(g *generation, state genState, run RunState) {
	if !g.end(s.clock.now(), state) {
		return
	}
	delete(s.running, g.id)
	s.runs.end(g.run, run)
}

func (s *Server) startRun(g *generation) {
	g.run = s.runs.start(Run{Attempt: g.attempt, Key: g.key, Version: g.version, Digest: g.digest})
}

// sweep cancels generations that have had no reader for the resume grace time, and
// deletes ended streams that have had none for that time.
func (s *Server) sweep() {
	now := s.clock.now()
	if now-s.lastSweep < min(sweepInterval, s.settings.ResumeGrace) {
		return
	}
	s.lastSweep = now
	for attempt, g := range s.streams {
		idle, running := g.idleTime(now)
		if idle < s.settings.ResumeGrace {
			continue
		}
		if running {
			s.cancelGeneration(g)
		}
		delete(s.streams, attempt)
	}
}

// cancelGeneration cancels a generation in the model engine and ends its run.
func (s *Server) cancelGeneration(g *generation) {
	s.engine.Cancel(s.clock.now(), g.ticket)
	s.finish(g, genCancelled, RunCancelled)
}
