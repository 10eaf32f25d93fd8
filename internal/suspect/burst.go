package suspect

import (
	"slices"
	"time"
)

const (
	// maxUnrelatedCrashes is how many upstreams may crash within burstWindow before
	// further crashes are attributed to their failure domain.
	maxUnrelatedCrashes = 2
	burstWindow         = 2 * time.Second
)

// burst counts the upstreams that crash together.
//
// It prevents the loss of a failure domain, or of the network to it, from being
// attributed to requests. Otherwise every request in flight there would become a suspect
// and need an upstream to itself. Such a loss takes many upstreams within seconds, which
// no single request can cause.
type burst struct {
	recent []burstCrash
}

type burstCrash struct {
	upstream string
	at       time.Duration
}

// add returns how many upstreams have crashed within burstWindow, including this one.
func (b *burst) add(upstream string, now time.Duration) int {
	b.recent = slices.DeleteFunc(b.recent, func(c burstCrash) bool { return now > c.at+burstWindow })
	for _, c := range b.recent {
		if c.upstream == upstream {
			return len(b.recent)
		}
	}
	b.recent = append(b.recent, burstCrash{upstream: upstream, at: now})
	return len(b.recent)
}
