package engine

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
)

// sweepGap is how often forgotten streams are looked for.
const sweepGap = time.Second

// drive is the engine's own duty: it carries the core along with the clock.
func (s *Server) drive() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-s.kick:
		case <-s.stop.Done():
			return
		}
		timer.Reset(s.work())
	}
}

// work does what is due and returns how long nothing more is.
func (s *Server) work() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.comeBack()
	s.catchUp()
	if s.clock.frozen {
		return sweepGap
	}
	s.sweep()
	return s.untilNext()
}

func (s *Server) untilNext() time.Duration {
	wait := min(sweepGap, s.settings.ResumeGrace)
	if at, ok := s.engine.Next(); ok {
		wait = min(wait, at-s.clock.now())
	}
	if !s.restartAt.IsZero() {
		wait = min(wait, time.Until(s.restartAt))
	}
	return max(wait, 0)
}

// catchUp carries the core to the present and applies what happened.
func (s *Server) catchUp() {
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
		g.produce(int(ev.Count), ev.Cached)
		if g.failAt > 0 && int(ev.Count) >= g.failAt {
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

// sweep gives up generations that nobody has read for the grace time, and
// forgets streams that ended that long ago.
func (s *Server) sweep() {
	now := s.clock.now()
	if now-s.swept < min(sweepGap, s.settings.ResumeGrace) {
		return
	}
	s.swept = now
	for attempt, g := range s.streams {
		idle, running := g.unread(now)
		if idle < s.settings.ResumeGrace {
			continue
		}
		if running {
			s.giveUp(g)
		}
		delete(s.streams, attempt)
	}
}

// giveUp cancels a generation.
func (s *Server) giveUp(g *generation) {
	s.engine.Cancel(s.clock.now(), g.ticket)
	s.finish(g, genCancelled, RunCancelled)
}
