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
	// before it is tried again; it doubles with each failure in a row up to
	// LongestSuspect.
	SuspectFor     time.Duration
	LongestSuspect time.Duration
	// TellTime is how long after the peers were told that this node stops
	// the last of them may still name it: a notice's way down their trees.
	TellTime time.Duration
	// ListTime is the same for peers that could not be told, and learn it
	// from the platform's list.
	ListTime time.Duration
	// LingerTime is how long connections stay open for an answer "not run"
	// after new requests are refused.
	LingerTime time.Duration
}

// The defaults.
const (
	DefaultAnswerTTL      = 5 * time.Second
	DefaultAnswerSize     = 4
	DefaultSuspectFor     = 2 * time.Second
	DefaultLongestSuspect = time.Minute
	DefaultTellTime       = 2 * time.Second
	DefaultListTime       = 15 * time.Second
	DefaultLingerTime     = 2 * time.Second
)

// WithDefaults returns the settings with every zero replaced by its default.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.AnswerTTL, DefaultAnswerTTL)
	setDefault(&s.AnswerSize, DefaultAnswerSize)
	setDefault(&s.SuspectFor, DefaultSuspectFor)
	setDefault(&s.LongestSuspect, DefaultLongestSuspect)
	setDefault(&s.TellTime, DefaultTellTime)
	setDefault(&s.ListTime, DefaultListTime)
	setDefault(&s.LingerTime, DefaultLingerTime)
	return s
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
