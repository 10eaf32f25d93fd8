package suspect

import "time"

// Settings configure a [Tracker]. Zero values take the defaults named here.
type Settings struct {
	// Self is this node's ID.
	Self string
	// Born tells this run of the node from earlier ones of the same ID: a random number
	// other than 0. Zero takes the time of New.
	Born uint64
	// PullInterval is the time between two pulls from peers (500 ms).
	PullInterval time.Duration
	// ResendInterval is the time after which an unanswered message is sent again (100
	// ms).
	ResendInterval time.Duration
	// FreshnessTTL is how long a node may run new work after it last asked a peer that
	// answered (1.5 s).
	FreshnessTTL time.Duration
	// Grace is added to FreshnessTTL for messages in transit (300 ms). A failure is held
	// back for a silent peer for both together.
	Grace time.Duration
	// VoteTimeout is how long peers are asked for votes before a suspect is refused (3
	// s).
	VoteTimeout time.Duration
	// RecordTTL is how long a fingerprint is kept after its last crash, and a convicted
	// one after its last refusal (1 h). MaxConvictionTTL bounds the time after the
	// conviction (12 h: over a night).
	RecordTTL        time.Duration
	MaxConvictionTTL time.Duration
	// MaxRun is the longest time that a permitted run may take (5 min).
	MaxRun time.Duration
	// MaxRecords bounds the number of fingerprints kept (1024).
	MaxRecords int
	// Degree is how many peers get alerts and pulls directly (16). With more peers,
	// records are relayed along a ring with chords.
	Degree int
	// Voters is how many peers vote on a run when there are more than Degree (5).
	Voters int

	// disabled switches rules off, so that tests can show that each is needed.
	disabled rule
}

const (
	defaultPullInterval     = 500 * time.Millisecond
	defaultResendInterval   = 100 * time.Millisecond
	defaultFreshnessTTL     = 1500 * time.Millisecond
	defaultGrace            = 300 * time.Millisecond
	defaultVoteTimeout      = 3 * time.Second
	defaultRecordTTL        = time.Hour
	defaultMaxConvictionTTL = 12 * time.Hour
	defaultMaxRun           = 5 * time.Minute
	defaultMaxRecords       = 1024
	defaultDegree           = 16
	defaultVoters           = 5
)

// MaxWait is the longest time from [Wait] to the decision: until the node knows what its peers
// know or goes on without them, and for the votes of a suspect. Up to Grace of it is for the
// time between two calls of Tick.
func (s Settings) MaxWait() time.Duration { return 2*s.FreshnessTTL + s.VoteTimeout + s.Grace }

func (s Settings) withDefaults(now time.Time) Settings {
	if s.Born == 0 {
		s.Born = uint64(now.UnixNano())
	}
	setDefaultDuration(&s.PullInterval, defaultPullInterval)
	setDefaultDuration(&s.ResendInterval, defaultResendInterval)
	setDefaultDuration(&s.FreshnessTTL, defaultFreshnessTTL)
	setDefaultDuration(&s.Grace, defaultGrace)
	setDefaultDuration(&s.VoteTimeout, defaultVoteTimeout)
	setDefaultDuration(&s.RecordTTL, defaultRecordTTL)
	setDefaultDuration(&s.MaxConvictionTTL, defaultMaxConvictionTTL)
	setDefaultDuration(&s.MaxRun, defaultMaxRun)
	setDefaultInt(&s.MaxRecords, defaultMaxRecords)
	setDefaultInt(&s.Degree, defaultDegree)
	setDefaultInt(&s.Voters, defaultVoters)
	return s
}

func setDefaultDuration(v *time.Duration, value time.Duration) {
	if *v == 0 {
		*v = value
	}
}

func setDefaultInt(v *int, value int) {
	if *v == 0 {
		*v = value
	}
}

// rule is one of the rules that keep the losses down to two upstreams.
type rule uint8

const (
	// ruleAlert sends suspects to the peers.
	ruleAlert rule = 1 << iota
	// ruleHoldFailures holds failures back until the peers know the suspects.
	ruleHoldFailures
	// ruleFreshness stops a node that was cut off or paused from running work.
	ruleFreshness
	// ruleVote asks the peers before a suspect runs.
	ruleVote
	// ruleDoubt counts a crash for a silent node that may have run the request.
	ruleDoubt
)

func (s *Settings) applies(r rule) bool { return s.disabled&r == 0 }
