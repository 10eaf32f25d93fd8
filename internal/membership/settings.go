package membership

import "time"

// Settings are the static settings of the membership. The zero value of a
// field means its default.
type Settings struct {
	// AnswerTTL is how long callers may keep an answer with addresses.
	AnswerTTL time.Duration
	// AnswerSize is how many addresses an answer has at most.
	AnswerSize int
	// SuspectFor is how long a VM that could not be reached stays a suspect
	// before it is tried again.
	SuspectFor time.Duration
}

// The defaults.
const (
	DefaultAnswerTTL  = 5 * time.Second
	DefaultAnswerSize = 4
	DefaultSuspectFor = 2 * time.Second
)

// WithDefaults returns the settings with every zero replaced by its default.
func (s Settings) WithDefaults() Settings {
	if s.AnswerTTL == 0 {
		s.AnswerTTL = DefaultAnswerTTL
	}
	if s.AnswerSize == 0 {
		s.AnswerSize = DefaultAnswerSize
	}
	if s.SuspectFor == 0 {
		s.SuspectFor = DefaultSuspectFor
	}
	return s
}
