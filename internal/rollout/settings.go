package rollout

import (
	"time"

	"github.com/rotisserie/eris"
)

// Defaults of the fields of [Settings].
const (
	DefaultInitialLoads   = 4
	DefaultMaxLoads       = 128
	DefaultMaxLoadsPart   = 1.0 / 16
	DefaultMinEngines     = 2
	DefaultServingPart    = 0.5
	DefaultReadsPerSecond = 50
	DefaultTick           = time.Second
	DefaultLease          = 15 * time.Second
	DefaultOwnershipTTL   = 2 * time.Second
	DefaultCallTimeout    = 2 * time.Second
	DefaultOrderTimeout   = time.Minute
	DefaultStateTTL       = 30 * time.Second
	DefaultDrainTimeout   = 10 * time.Minute
)

// Settings configure a Driver; zero fields take the defaults.
type Settings struct {
	// InitialLoads is how many engines load a version at one time before the weight
	// store's capacity is known.
	InitialLoads int
	// MaxLoads, and MaxLoadsPart as a part of the live engines, bound that number; it may
	// always reach InitialLoads. As many unloads may be pending beside the loads.
	MaxLoads     int
	MaxLoadsPart float64
	// MinEngines is the least number of engines for a version with a share, however small
	// the share is.
	MinEngines int
	// ServingPart in (0,1] is the part of the engines that should have a serving version;
	// a staged version gets its share of that part.
	ServingPart float64
	// Slots is how many versions fit on an engine; 0 means no bound.
	Slots int
	// ReadsPerSecond bounds how often engines are asked for their state.
	ReadsPerSecond float64
	// Tick is the time between two decisions.
	Tick time.Duration
	// Lease is how long the row must stay unchanged, by the clock of a node that watches
	// it, before that node takes it over.
	Lease time.Duration
	// OwnershipTTL is how long after a call that showed the row to be this node's an
	// order may still be sent.
	OwnershipTTL time.Duration
	// CallTimeout bounds a call to the table or to an engine.
	CallTimeout time.Duration
	// OrderTimeout is how long an order may show no effect before another engine is
	// tried.
	OrderTimeout time.Duration
	// StateTTL is how long an engine's state counts after it was read. In a fleet that
	// takes longer to read it is extended to two rounds of reads.
	StateTTL time.Duration
	// DrainTimeout is how long requests on a withdrawn version may run after the
	// withdrawal is in force, on an engine that never reports to be idle.
	DrainTimeout time.Duration
}

// WithDefaults returns the settings with zero fields replaced by the defaults.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.InitialLoads, DefaultInitialLoads)
	setDefault(&s.MaxLoads, DefaultMaxLoads)
	setDefault(&s.MaxLoadsPart, DefaultMaxLoadsPart)
	setDefault(&s.MinEngines, DefaultMinEngines)
	setDefault(&s.ServingPart, DefaultServingPart)
	setDefault(&s.ReadsPerSecond, DefaultReadsPerSecond)
	setDefault(&s.Tick, DefaultTick)
	setDefault(&s.Lease, DefaultLease)
	setDefault(&s.OwnershipTTL, DefaultOwnershipTTL)
	setDefault(&s.CallTimeout, DefaultCallTimeout)
	setDefault(&s.OrderTimeout, DefaultOrderTimeout)
	setDefault(&s.StateTTL, DefaultStateTTL)
	setDefault(&s.DrainTimeout, DefaultDrainTimeout)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns an error for the first setting that is out of range.
func (s Settings) Validate() error {
	switch {
	case s.InitialLoads < 1, s.MaxLoads < 1, s.MinEngines < 1, s.Slots < 0:
		return eris.Errorf("roll-outs: counts are out of range: InitialLoads %d, MaxLoads %d and MinEngines %d must be at least 1, Slots %d at least 0", s.InitialLoads, s.MaxLoads, s.MinEngines, s.Slots)
	case !(s.ServingPart > 0 && s.ServingPart <= 1):
		return eris.Errorf("roll-outs: ServingPart %v is not above 0 and at most 1", s.ServingPart)
	case !(s.MaxLoadsPart > 0 && s.MaxLoadsPart <= 1):
		return eris.Errorf("roll-outs: MaxLoadsPart %v is not above 0 and at most 1", s.MaxLoadsPart)
	case !(s.ReadsPerSecond > 0):
		return eris.Errorf("roll-outs: ReadsPerSecond %v is not above 0", s.ReadsPerSecond)
	case min(s.Tick, s.CallTimeout, s.OrderTimeout, s.StateTTL, s.DrainTimeout) <= 0:
		return eris.Errorf("roll-outs: Tick %v, CallTimeout %v, OrderTimeout %v, StateTTL %v and DrainTimeout %v must be above 0", s.Tick, s.CallTimeout, s.OrderTimeout, s.StateTTL, s.DrainTimeout)
	case s.OwnershipTTL <= 0 || s.Lease < renewals*s.OwnershipTTL:
		return eris.Errorf("roll-outs: OwnershipTTL %v must be above 0 and Lease %v at least %d times as long", s.OwnershipTTL, s.Lease, renewals)
	}
	return nil
}
