package suspect

import "time"

// Settings configure a [Tracker]. Zero values take the defaults named here.
type Settings struct {
	// Self is this node's ID.
	Self string
	// Born tells this run of the node from earlier ones of the same ID: a
	// random number other than 0. Zero takes the time of New.
	Born uint64
	// Beat is the gap between two pulls from peers (500 ms).
	Beat time.Duration
	// Resend is the gap before an unanswered message is sent again (100 ms).
	Resend time.Duration
	// Lapse is how long a node may run new work after it last asked a peer
	// that answered (1.5 s).
	Lapse time.Duration
	// Grace is added to Lapse for messages on their way (300 ms). A failure is
	// held back for a silent peer for Lapse and Grace together.
	Grace time.Duration
	// AskFor is how long permission for a suspect is asked for (3 s).
	AskFor time.Duration
	// Expiry is how long a fingerprint is remembered after its last crash,
	// and a convicted one after its last refusal (1 h), but no longer than
	// MaxLife after its conviction (12 h: over a night).
	Expiry  time.Duration
	MaxLife time.Duration
	// MaxRun is the longest time that a permitted run may take (5 min).
	MaxRun time.Duration
	// MaxRecords bounds the fingerprints remembered (1024).
	MaxRecords int
	// Degree is how many peers are told and pulled from directly; with more,
	// news is relayed along a ring with chords (16).
	Degree int
	// Voters is how many peers permit a run when there are more than Degree (5).
	Voters int

	// off switches guards off, for tests that show what each is for.
	off guard
}

const (
	defaultBeat       = 500 * time.Millisecond
	defaultResend     = 100 * time.Millisecond
	defaultLapse      = 1500 * time.Millisecond
	defaultGrace      = 300 * time.Millisecond
	defaultAskFor     = 3 * time.Second
	defaultExpiry     = time.Hour
	defaultMaxLife    = 12 * time.Hour
	defaultMaxRun     = 5 * time.Minute
	defaultMaxRecords = 1024
	defaultDegree     = 16
	defaultVoters     = 5
)

func (s Settings) withDefaults(now time.Time) Settings {
	if s.Born == 0 {
		s.Born = uint64(now.UnixNano())
	}
	orDuration(&s.Beat, defaultBeat)
	orDuration(&s.Resend, defaultResend)
	orDuration(&s.Lapse, defaultLapse)
	orDuration(&s.Grace, defaultGrace)
	orDuration(&s.AskFor, defaultAskFor)
	orDuration(&s.Expiry, defaultExpiry)
	orDuration(&s.MaxLife, defaultMaxLife)
	orDuration(&s.MaxRun, defaultMaxRun)
	orInt(&s.MaxRecords, defaultMaxRecords)
	orInt(&s.Degree, defaultDegree)
	orInt(&s.Voters, defaultVoters)
	return s
}

func orDuration(v *time.Duration, otherwise time.Duration) {
	if *v == 0 {
		*v = otherwise
	}
}

func orInt(v *int, otherwise int) {
	if *v == 0 {
		*v = otherwise
	}
}

// guard is one of the things that keep the losses down to two.
type guard uint8

const (
	// guardAlert tells the peers of suspects.
	guardAlert guard = 1 << iota
	// guardRelease holds failures back until the peers know.
	guardRelease
	// guardFresh keeps a node that was cut off or paused from running work.
	guardFresh
	// guardVote asks the peers before a suspect runs.
	guardVote
	// guardDoubt counts a silent node's unknown part as a crash.
	guardDoubt
)

func (s *Settings) has(g guard) bool { return s.off&g == 0 }
