package fault

import "math/rand/v2"

// Injector holds the current faults and decides the outcome of each call. Each
// service has its own random generator, so a fault in one service does not change
// the random decisions for another. It is not safe for concurrent use.
type Injector struct {
	set Set
	rng [numServices]*rand.Rand
}

// NewInjector returns an injector without faults. The same seed and calls give the
// same decisions.
func NewInjector(seed uint64) *Injector {
	in := new(Injector)
	for s := range numServices {
		in.rng[s] = rand.New(rand.NewPCG(seed, uint64(s)))
	}
	return in
}

// Faults returns the current faults. LoseAcks is the number of answers still to be
// lost.
func (in *Injector) Faults() Set { return in.set }

// Apply replaces the faults of the services that the change sets. It does not
// validate the change.
func (in *Injector) Apply(c Change) {
	for s := range numServices {
		if f := c.faultOf(s); f != nil {
			*in.set.faultOf(s) = *f
		}
	}
}

// Down reports whether the service currently refuses every call.
func (in *Injector) Down(s Service) bool { return in.set.faultOf(s).Down }

// Begin decides what happens to a call on arrival, before it takes effect.
func (in *Injector) Begin(s Service) Verdict {
	f := in.set.faultOf(s)
	if f.Down || in.draw(s, f.RefuseFraction) {
		return Verdict{Refuse: true}
	}
	return Verdict{
		Drop:  in.draw(s, f.DropFraction),
		Delay: f.Delay(),
	}
}

// EndRead decides whether a read gets its answer.
func (in *Injector) EndRead(s Service) Ending {
	if in.set.faultOf(s).OneWay {
		return Silent
	}
	return Answered
}

// EndWrite decides whether a write gets its answer. effect reports whether the
// write took effect. A lost answer decrements LoseAcks.
func (in *Injector) EndWrite(s Service, effect bool) Ending {
	f := in.set.faultOf(s)
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

// draw returns true with the given probability.
func (in *Injector) draw(s Service, fraction float64) bool {
	return fraction > 0 && in.rng[s].Float64() < fraction
}
