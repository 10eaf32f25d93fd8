package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// flight is one attempt of this node that may run.
type flight struct {
	attempt     string
	fingerprint request.Fingerprint
	upstream    string // empty until the attempt is sent
	started     time.Duration
	// epoch is the upstream's epoch while the attempt runs there. It is known once a load
	// report was made during the attempt.
	epoch      uint64
	epochKnown bool
	// granted is set if voters have permitted the run; a run of no suspect has none.
	granted bool
	lane    string
	voters  []string
}

// flightsAt are the attempts in flight at an upstream, sorted by attempt.
func (t *Tracker) flightsAt(upstream string) []*flight {
	var out []*flight
	for _, fl := range t.flights {
		if fl.upstream == upstream {
			out = append(out, fl)
		}
	}
	slices.SortFunc(out, func(a, b *flight) int { return cmp.Compare(a.attempt, b.attempt) })
	return out
}
