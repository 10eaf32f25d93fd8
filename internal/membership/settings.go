package membership

import "time"

// Settings are the static settings of the membership. A zero field means its default.
type Settings struct {
	// AnswerTTL is how long callers may cache an answer with addresses.
	AnswerTTL time.Duration
	// AnswerSize is the maximum number of addresses in an answer.
	AnswerSize int
	// SuspectTime is how long an unreachable VM is a suspect before it is tried again. The
	// time doubles with each failure in a row, up to MaxSuspectTime.
	SuspectTime    time.Duration
	MaxSuspectTime time.Duration
	// NotifyTime is how long peers that were notified of this node's stop may still name it
	// in answers: the time that a notice takes down their trees.
	NotifyTime time.Duration
	// ListLag is the same for peers that could not be notified and learn of the stop from
	// the platform's list.
	ListLag time.Duration
	// LingerTime is how long connections stay open after new requests are refused, so that
	// late requests get the response "not run".
	LingerTime time.Duration
}

// Defaults of [Settings].
const (
	DefaultAnswerTTL      = 5 * time.Second
	DefaultAnswerSize     = 4
	DefaultSuspectTime    = 2 * time.Second
	DefaultMaxSuspectTime = time.Minute
	DefaultNotifyTime     = 2 * time.Second
	DefaultListLag        = 15 * time.Second
	DefaultLingerTime     = 2 * time.Second
)

// WithDefaults returns the settings with each zero field replaced by its default.
func (s Settings) WithDefaults() Settings {
	setDefault(&s.AnswerTTL, DefaultAnswerTTL)
	setDefault(&s.AnswerSize, DefaultAnswerSize)
	setDefault(&s.SuspectTime, DefaultSuspectTime)
	setDefault(&s.MaxSuspectTime, DefaultMaxSuspectTime)
	setDefault(&s.NotifyTime, DefaultNotifyTime)
	setDefault(&s.ListLag, DefaultListLag)
	setDefault(&s.LingerTime, DefaultLingerTime)
	return s
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
