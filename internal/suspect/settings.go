package suspect

import "time"

// Settings configure a [Tracker]. Zero values take the defaults named here.
type Settings struct {
	// Self is this node's ID.
	Self string
	// Resend is the gap before an unanswered message is sent again (100 ms).
	Resend time.Duration
	// Lapse is the silence of all peers after which a node must hear from one
	// before it runs anything new, and so how long a failure is held back for
	// a peer that does not acknowledge (1 s).
	Lapse time.Duration
	// Expiry is how long a suspect or convicted fingerprint is remembered
	// after the last crash (1 h).
	Expiry time.Duration
	// MaxRun is the longest time that a permitted run may take (10 min).
	MaxRun time.Duration
	// MaxRecords bounds the fingerprints remembered (4096).
	MaxRecords int
}
