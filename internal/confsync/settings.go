package confsync

import (
	"time"

	"github.com/rotisserie/eris"
)

// Settings are the static settings of a node's configuration sync. The zero
// value of a field means its default.
type Settings struct {
	// Bound is how old a node's youngest proof may be for new work. Every
	// node must have the same.
	Bound time.Duration
	// ReadGap is the time between the starts of two reads of the head row by
	// one reader.
	ReadGap time.Duration
	// ReadTimeout bounds one read of the table.
	ReadTimeout time.Duration
	// ListGap is the time between two reads of the VM list by one reader.
	ListGap time.Duration
	// MinHold and MaxHold bound how long a parent holds a child's call when
	// there is nothing newer: the first newer proof ends it after MinHold.
	MinHold time.Duration
	MaxHold time.Duration
	// CallTimeout bounds a call to a peer that is not held; a held one may
	// take MaxHold more.
	CallTimeout time.Duration
	// SurveyGap is the time between two surveys of the peers in an outage of
	// the table.
	SurveyGap time.Duration
	// Readers is how many nodes of a failure domain read the table.
	Readers int
	// FanOut is how many children a node of the tree has.
	FanOut int
	// DirectLimit is the number of entry nodes up to which one node surveys
	// all others itself; above it goes through the failure domains' trees.
	DirectLimit int
	// Seeds are peer addresses to ask while no VM list is known.
	Seeds []string
	// Seed decides the spreading in time.
	Seed uint64
}

// The defaults. docs/design/configuration.md derives them from the bound of
// 3 s within which a configuration must be in force everywhere.
const (
	DefaultBound       = 2500 * time.Millisecond
	DefaultReadGap     = 500 * time.Millisecond
	DefaultReadTimeout = 2 * time.Second
	DefaultListGap     = 2 * time.Second
	DefaultMinHold     = 700 * time.Millisecond
	DefaultMaxHold     = 1200 * time.Millisecond
	DefaultCallTimeout = 250 * time.Millisecond
	DefaultSurveyGap   = 800 * time.Millisecond
	DefaultReaders     = 2
	DefaultFanOut      = 4
	DefaultDirectLimit = 16
)

// WithDefaults returns the settings with every zero replaced by its default.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.Bound, DefaultBound)
	setDefault(&s.ReadGap, DefaultReadGap)
	setDefault(&s.ReadTimeout, DefaultReadTimeout)
	setDefault(&s.ListGap, DefaultListGap)
	setDefault(&s.MinHold, DefaultMinHold)
	setDefault(&s.MaxHold, DefaultMaxHold)
	setDefault(&s.CallTimeout, DefaultCallTimeout)
	setDefault(&s.SurveyGap, DefaultSurveyGap)
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

// Validate says what is wrong with settings whose defaults are filled in.
func (s Settings) Validate() error {
	if s.Bound <= s.MaxHold+2*s.CallTimeout {
		return eris.New("bound must be above the longest hold and two call timeouts")
	}
	if s.ReadGap <= 0 || s.ReadGap >= s.Bound {
		return eris.New("read gap must be above 0 and below the bound")
	}
	if s.MinHold > s.MaxHold {
		return eris.New("shortest hold must not be above the longest")
	}
	if s.Readers < 1 || s.FanOut < 1 || s.DirectLimit < 1 {
		return eris.New("readers, fan-out and direct limit must be above 0")
	}
	return nil
}
