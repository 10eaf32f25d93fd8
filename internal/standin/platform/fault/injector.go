package fault

import "math/rand/v2"

// Injector holds the faults in force and decides for each call. Every service
// draws from a generator of its own, so that a fault in one does not change
// what happens in another.
type Injector struct {
	set Set
	rng [services]*rand.Rand
}

// NewInjector returns an injector without faults.
func NewInjector(seed uint64) *Injector {
	in := new(Injector)
	for s := range services {
		in.rng[s] = rand.New(rand.NewPCG(seed, uint64(s)))
	}
	return in
}

// Faults returns the faults in force; LoseAcks has counted down.
func (in *Injector) Faults() Set { return in.set }

// Apply puts a valid change into force.
func (in *Injector) Apply(c Change) {
	for s := range services {
		if f := c.of(s); f != nil {
			*in.set.of(s) = *f
		}
	}
}

// Down reports whether the service is down.
func (in *Injector) Down(s Service) bool { return in.set.of(s).Down }

// Begin decides about a call that arrives.
func (in *Injector) Begin(s Service) Verdict {
	f := in.set.of(s)
	if f.Down || in.draw(s, f.RefuseFraction) {
		return Verdict{Refuse: true}
	}
	return Verdict{
		Drop:  in.draw(s, f.DropFraction),
		Delay: f.Delay(),
	}
}

// EndRead decides about the answer of a call that only read.
func (in *Injector) EndRead(s Service) Ending {
	if in.set.of(s).OneWay {
		return Silent
	}
	return Answered
}

// EndWrite decides about the answer of a write, which took effect or not.
func (in *Injector) EndWrite(s Service, effect bool) Ending {
	f := in.set.of(s)
	if f.OneWay {
		return Silent
	}
	if effect && f.LoseAcks > 0 {
		f.LoseAcks--
		return Lost
	}
	if in.draw(s, f.LoseAckFraction) {
		return Lost
	}
	return Answered
}

func (in *Injector) draw(s Service, fraction float64) bool {
	return fraction > 0 && in.rng[s].Float64() < fraction
}
