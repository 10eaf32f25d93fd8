package bill

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/fate"
)

// failuresToDown is the number of consecutive failures after which a store counts as
// down. A single failure may be a write that exceeded the platform's rate limit.
const failuresToDown = 2

// storeHealth tracks whether a store is down or slow. A store that is down only gets
// periodic probes, and so does a slow store while the other one is healthy. If the other
// one is not healthy either, a slow store gets all rows, but bills do not wait for it.
// With probes alone, the backlog would grow without limit.
type storeHealth struct {
	grace       time.Duration // a write that takes longer is slow
	probe       time.Duration // time between probes
	maxInFlight int
	inFlight    []time.Time // send times of the writes in flight

	failures  int // consecutive
	slow      bool
	nextProbe time.Time
}

func (h *storeHealth) down() bool { return h.failures >= failuresToDown }

// fails reports whether the store is down, or has left a write unanswered for longer than
// limit.
func (h *storeHealth) fails(now time.Time, limit time.Duration) bool {
	return h.down() || slices.ContainsFunc(h.inFlight, func(sent time.Time) bool { return now.Sub(sent) > limit })
}

// healthy reports whether bills should wait for the store.
func (h *storeHealth) healthy() bool { return !h.down() && !h.slow }

// usable reports whether a write may be sent now, given the health of the other store.
func (h *storeHealth) usable(now time.Time, other *storeHealth) bool {
	if len(h.inFlight) >= h.maxInFlight {
		return false
	}
	best := !h.down() && !other.healthy()
	return h.healthy() || best || !now.Before(h.nextProbe)
}

// recordSent records that a write was sent.
func (h *storeHealth) recordSent(now time.Time) {
	h.inFlight = append(h.inFlight, now)
	if !h.healthy() {
		h.nextProbe = now.Add(h.probe)
	}
}

// checkInFlight marks the store as slow if a write in flight takes longer than the grace
// time. Otherwise a store that hangs would delay each batch until the call times out.
func (h *storeHealth) checkInFlight(now time.Time) {
	for _, sent := range h.inFlight {
		if now.Sub(sent) > h.grace {
			h.markSlow(now)
		}
	}
}

func (h *storeHealth) markSlow(now time.Time) {
	if !h.slow {
		h.slow = true
		h.nextProbe = now.Add(h.probe)
	}
}

// recordResult records the result of a write and reports whether the row is stored.
func (h *storeHealth) recordResult(now, sent time.Time, f fate.Fate) bool {
	if i := slices.Index(h.inFlight, sent); i >= 0 {
		h.inFlight = slices.Delete(h.inFlight, i, i+1)
	}
	if f != fate.Applied && f != fate.Conflict {
		h.failures++
		h.nextProbe = now.Add(h.probe)
		return false
	}
	h.failures = 0
	h.slow = false
	if now.Sub(sent) > h.grace {
		h.markSlow(now)
	}
	return true
}
