package sim

import "time"

// drainTime is how long a run continues after the last arrival.
const drainTime = 3 * time.Minute

// Run runs one configuration. It fails if the configuration is invalid.
func Run(cfg Config) (*Result, error) {
	r, err := run(cfg)
	if err != nil {
		return nil, err
	}
	r.computeMeans()
	return r, nil
}

func run(cfg Config) (*Result, error) {
	w, err := newWorld(cfg)
	if err != nil {
		return nil, err
	}
	for _, f := range cfg.Faults {
		w.scheduleFault(f)
	}
	w.scheduleArrivals()
	w.runUntil(cfg.Duration + drainTime)
	return w.result, nil
}

// scheduleFault schedules the begin and end of a fault at the affected upstreams.
func (w *world) scheduleFault(f Fault) {
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
		w.at(f.From, func() { s.beginFault(f) })
		w.at(f.Until, func() { s.endFault(f) })
	}
}

func (s *server) beginFault(f Fault) {
	s.faulty = true
	switch f.Kind {
	case Slow:
		s.setSlowFactor(f.Factor)
	case Crash:
		s.crash()
	case Declining:
		s.declining = true
	case Failing:
		s.failShare = f.Factor
	}
}

// setSlowFactor multiplies the usual time of a step or call by factor.
func (s *server) setSlowFactor(factor float64) {
	s.slowFactor = factor
	if s.engine == nil {
		return
	}
	s.advance()
	s.engine.SetSlow(factor)
	s.scheduleWake()
}

func (s *server) endFault(f Fault) {
	s.faulty = false
	switch f.Kind {
	case Slow:
		s.setSlowFactor(1)
	case Crash:
		s.down = false
	case Declining:
		s.declining = false
	case Failing:
		s.failShare = 0
	}
}
