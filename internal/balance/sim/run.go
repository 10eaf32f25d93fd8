package sim

import "time"

// drain is how long a run goes on after the last request.
const drain = 3 * time.Minute

// Run plays one configuration. The error is about the configuration.
func Run(cfg Config) (*Result, error) {
	r, err := run(cfg)
	if err != nil {
		return nil, err
	}
	r.close()
	return r, nil
}

func run(cfg Config) (*Result, error) {
	w, err := newWorld(cfg)
	if err != nil {
		return nil, err
	}
	for _, f := range cfg.Faults {
		w.plan(f)
	}
	w.arrivals()
	w.runUntil(cfg.Length + drain)
	return w.result, nil
}

// plan lets a fault begin and end.
func (w *world) plan(f Fault) {
	list := w.engines
	if f.Service {
		list = w.servers[len(w.engines):]
	}
	for i, s := range list {
		if f.Engine >= 0 && f.Engine != i {
			continue
		}
		if f.Engine < 0 && f.Domain >= 0 && f.Domain != s.domain {
			continue
		}
		w.at(f.From, func() { s.strike(f) })
		w.at(f.Until, func() { s.recover(f) })
	}
}

func (s *server) strike(f Fault) {
	s.struck = true
	switch f.Kind {
	case Slow:
		s.setSlow(f.Factor)
	case Crash:
		s.crash()
	case Declining:
		s.declining = true
	case Failing:
		s.failing = f.Factor
	}
}

// setSlow makes the upstream so many times as slow as usual.
func (s *server) setSlow(factor float64) {
	s.slow = factor
	if s.engine == nil {
		return
	}
	s.advance()
	s.engine.SetSlow(factor)
	s.arm()
}

func (s *server) recover(f Fault) {
	s.struck = false
	switch f.Kind {
	case Slow:
		s.setSlow(1)
	case Crash:
		s.down = false
	case Declining:
		s.declining = false
	case Failing:
		s.failing = 0
	}
}
