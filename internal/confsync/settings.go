package confsync

import (
	"time"

	"github.com/rotisserie/eris"
)

// Settings are the static settings of a node's configuration sync. A zero field means its
// default.
type Settings struct {
	// Bound is the maximum age of a node's latest proof for admitting new work. It must be
	// the same on all nodes.
	Bound time.Duration
	// ReadInterval is the interval between the starts of two reads of the head row by a reader.
	ReadInterval time.Duration
	// ReadTimeout bounds one read of the table.
	ReadTimeout time.Duration
	// ListInterval is the interval between two reads of the VM list by a reader.
	ListInterval time.Duration
	// MinHold and MaxHold bound how long a parent holds a child's call while there is
	// nothing newer. After MinHold the first more recent proof ends the hold.
	MinHold time.Duration
	MaxHold time.Duration
	// CallTimeout bounds a call to a peer. A held call may take MaxHold longer.
	CallTimeout time.Duration
	// SurveyInterval is the maximum interval between two surveys during an outage of the table.
	SurveyInterval time.Duration
	// Readers is the number of nodes of a failure domain that read the table.
	Readers int
	// FanOut is the number of children of a node in the tree.
	FanOut int
	// DirectLimit is the maximum number of other entry nodes that a node surveys directly.
	// Above it, one reader of each other failure domain answers for its domain.
	DirectLimit int
	// Seeds are peer addresses to call while no VM list is known.
	Seeds []string
	// Seed initialises the random jitter of reads.
	Seed uint64
}

// Defaults of [Settings]. docs/design/configuration.md derives them from the limit of 3 s
// within which a configuration must be in force on all nodes.
const (
	DefaultBound          = 2500 * time.Millisecond
	DefaultReadInterval   = 500 * time.Millisecond
	DefaultReadTimeout    = 2 * time.Second
	DefaultListInterval   = 2 * time.Second
	DefaultMinHold        = 700 * time.Millisecond
	DefaultMaxHold        = 1200 * time.Millisecond
	DefaultCallTimeout    = 250 * time.Millisecond
	DefaultSurveyInterval = 800 * time.Millisecond
	DefaultReaders        = 2
	DefaultFanOut         = 4
	DefaultDirectLimit    = 16
)

// WithDefaults returns the settings with each zero field replaced by its default.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Bound, DefaultBound)
	setDefault(&s.ReadInterval, DefaultReadInterval)
	setDefault(&s.ReadTimeout, DefaultReadTimeout)
	setDefault(&s.ListInterval, DefaultListInterval)
	setDefault(&s.MinHold, DefaultMinHold)
	setDefault(&s.MaxHold, DefaultMaxHold)
	setDefault(&s.CallTimeout, DefaultCallTimeout)
	setDefault(&s.SurveyInterval, DefaultSurveyInterval)
	setDefault(&s.Readers, DefaultReaders)
	setDefault(&s.FanOut, DefaultFanOut)
	setDefault(&s.DirectLimit, DefaultDirectLimit)
	return s
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Validate returns an error if the settings, with defaults filled in, cannot keep the bound.
func (s Settings) Validate() error {
	if s.Bound <= s.MaxHold+2*s.CallTimeout {
		return eris.Errorf("Bound is %v, must be above MaxHold plus two CallTimeouts (%v)", s.Bound, s.MaxHold+2*s.CallTimeout)
	}
	if s.ReadInterval <= 0 || s.ReadInterval >= s.Bound {
		return eris.Errorf("ReadInterval is %v, must be above 0 and below Bound (%v)", s.ReadInterval, s.Bound)
	}
	if s.MinHold > s.MaxHold {
		return eris.Errorf("MinHold is %v, must not be above MaxHold (%v)", s.MinHold, s.MaxHold)
	}
	if s.Readers < 1 || s.FanOut < 1 || s.DirectLimit < 1 {
		return eris.Errorf("Readers is %d, FanOut %d and DirectLimit %d; each must be at least 1", s.Readers, s.FanOut, s.DirectLimit)
	}
	return nil
}
