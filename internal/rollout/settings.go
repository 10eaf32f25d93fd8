package rollout

import (
	"time"

	"github.com/rotisserie/eris"
)

// Values of settings that are left at zero.
const (
	DefaultLoadsAtOnce    = 4
	DefaultLoadsAtMost    = 128
	DefaultLoadsPart      = 1.0 / 16
	DefaultMinEngines     = 2
	DefaultServingPart    = 0.5
	DefaultReadsPerSecond = 50
	DefaultTick           = time.Second
	DefaultLease          = 15 * time.Second
	DefaultProofFor       = 2 * time.Second
	DefaultCallTimeout    = 2 * time.Second
	DefaultPatience       = time.Minute
	DefaultSeenFor        = 30 * time.Second
	DefaultDrainFor       = 10 * time.Minute
)

// Settings bound what a Driver does; zero fields take the defaults.
type Settings struct {
	// LoadsAtOnce is how many engines load a version at one time until it was
	// seen how many the weight store bears.
	LoadsAtOnce int
	// LoadsAtMost and LoadsPart, of the live engines, bound that number; it may
	// be LoadsAtOnce in any case. As many unloads may be in hand beside them.
	LoadsAtMost int
	LoadsPart   float64
	// MinEngines is the least number of engines that a version with a share
	// wants, whatever its share.
	MinEngines int
	// ServingPart in (0,1] is the part of the engines that a serving version
	// wants; a staged one wants its share of that.
	ServingPart float64
	// Slots is how many versions an engine has room for; 0 means no bound.
	Slots int
	// ReadsPerSecond bounds how often engines are asked for their state.
	ReadsPerSecond float64
	// Tick is the time between two decisions.
	Tick time.Duration
	// Lease is how long the row must stay unchanged, by the clock of a node
	// that watches it, before that node takes it over.
	Lease time.Duration
	// ProofFor is how long after the row was seen to be this node's an order
	// may still leave it.
	ProofFor time.Duration
	// CallTimeout bounds a call to the table or to an engine.
	CallTimeout time.Duration
	// Patience is how long an order may show no effect before another engine
	// is tried.
	Patience time.Duration
	// SeenFor is how long an engine's state counts after it was read; a fleet
	// that takes longer to read stretches it to two rounds.
	SeenFor time.Duration
	// DrainFor is how long work on a withdrawn version may go on after the
	// withdrawal is in force, on an engine that never reports to be idle.
	DrainFor time.Duration
}

// WithDefaults returns the settings with zero fields filled in.
func (s Settings) WithDefaults() Settings {
	fill(&s.LoadsAtOnce, DefaultLoadsAtOnce)
	fill(&s.LoadsAtMost, DefaultLoadsAtMost)
	fill(&s.LoadsPart, DefaultLoadsPart)
	fill(&s.MinEngines, DefaultMinEngines)
	fill(&s.ServingPart, DefaultServingPart)
	fill(&s.ReadsPerSecond, DefaultReadsPerSecond)
	fill(&s.Tick, DefaultTick)
	fill(&s.Lease, DefaultLease)
	fill(&s.ProofFor, DefaultProofFor)
	fill(&s.CallTimeout, DefaultCallTimeout)
	fill(&s.Patience, DefaultPatience)
	fill(&s.SeenFor, DefaultSeenFor)
	fill(&s.DrainFor, DefaultDrainFor)
	return s
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate reports the first setting that cannot be used.
func (s Settings) Validate() error {
	switch {
	case s.LoadsAtOnce < 1, s.LoadsAtMost < 1, s.MinEngines < 1, s.Slots < 0:
		return eris.New("roll-outs: a count is too small")
	case !(s.ServingPart > 0 && s.ServingPart <= 1):
		return eris.New("roll-outs: ServingPart is not above 0 and at most 1")
	case !(s.LoadsPart > 0 && s.LoadsPart <= 1):
		return eris.New("roll-outs: LoadsPart is not above 0 and at most 1")
	case !(s.ReadsPerSecond > 0):
		return eris.New("roll-outs: ReadsPerSecond is not above 0")
	case min(s.Tick, s.CallTimeout, s.Patience, s.SeenFor, s.DrainFor) <= 0:
		return eris.New("roll-outs: a duration is not above 0")
	case s.ProofFor <= 0 || s.Lease < renewals*s.ProofFor:
		return eris.New("roll-outs: Lease is below three times ProofFor")
	}
	return nil
}
