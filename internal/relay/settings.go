package relay

import "time"

// Settings configures a [Dialer] and a [Carrier].
type Settings struct {
	// Self identifies this process towards peers.
	Self Identity
	// MaxCarried bounds the connections that this node carries for others (256).
	MaxCarried int
}

const (
	defaultMaxCarried = 256
	// connectTimeout bounds the opening of a direct connection.
	connectTimeout = 500 * time.Millisecond
	// hedgeDelay is how long the direct way has before a peer is asked as well.
	hedgeDelay = 150 * time.Millisecond
	// unansweredAfter is how long a direct connection may stay unanswered once a peer has
	// reached the upstream, until the link counts as doubtful.
	unansweredAfter = 250 * time.Millisecond
	// peerTimeout bounds the way to a peer and its answer, beside the time that the peer has
	// to connect.
	peerTimeout = 250 * time.Millisecond
	// carryTimeout is the time that a peer has to connect to the upstream.
	carryTimeout = 200 * time.Millisecond
	// maxPeers is how many peers are asked for one connection, maxOpinions how many of them may
	// try the upstream in vain.
	maxPeers    = 3
	maxOpinions = 2
	// avoidFor is how long a peer that could not help is left out.
	avoidFor = time.Second
	// downFor is how long peers are not asked for an upstream that a peer did not reach either.
	downFor = time.Second
	// minProbeInterval and maxProbeInterval bound the pause between two direct connections to
	// an upstream while the link is lost; it doubles with each.
	minProbeInterval = 300 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	// silentTimeout is how long data between nodes may stay unacknowledged.
	silentTimeout = 2 * time.Second
)

func (s Settings) withDefaults() Settings {
	if s.MaxCarried == 0 {
		s.MaxCarried = defaultMaxCarried
	}
	return s
}
