package suspect

import (
	"slices"
	"time"
)

const (
	// massLoss upstreams may be lost within massLossIn before further losses
	// are put down to their failure domain.
	massLoss   = 2
	massLossIn = 2 * time.Second
)

// burst counts the upstreams that crash together.
//
// It guards against the loss of a failure domain or of the network to it:
// everything in flight there would become a suspect, and each would want an
// upstream to itself. It shows as many upstreams lost within seconds, which no
// one request can cause.
type burst struct {
	recent []burstCrash
}

type burstCrash struct {
	upstream string
	at       time.Duration
}

// add returns how many upstreams have crashed of late, this one included.
func (b *burst) add(upstream string, now time.Duration) int {
	b.recent = slices.DeleteFunc(b.recent, func(c burstCrash) bool { return now > c.at+massLossIn })
	for _, c := range b.recent {
		if c.upstream == upstream {
			return len(b.recent)
		}
	}
	b.recent = append(b.recent, burstCrash{upstream: upstream, at: now})
	return len(b.recent)
}
