package bill

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/fate"
)

// failuresToDown is how many failures in a row make a store count as down.
// One alone may be a write that exceeded the platform's limit.
const failuresToDown = 2

// health is what a collector believes of a store. A store that is down gets a
// probe now and then. One that is slow still gets all rows, but nobody waits
// for it alone.
type health struct {
	grace    time.Duration
	probe    time.Duration
	failures int
	slow     bool
	probeAt  time.Time
}

func (h *health) down() bool { return h.failures >= failuresToDown }

// fit says whether bills should wait for the store.
func (h *health) fit() bool { return !h.down() && !h.slow }

// open says whether a write may be sent.
func (h *health) open(now time.Time) bool { return !h.down() || !now.Before(h.probeAt) }

// sent notes a write.
func (h *health) sent(now time.Time) {
	if h.down() {
		h.probeAt = now.Add(h.probe)
	}
}

// done takes the fate of a write and says whether the row is stored.
func (h *health) done(now, sent time.Time, f fate.Fate) bool {
	if f != fate.Applied && f != fate.Conflict {
		h.failures++
		h.probeAt = now.Add(h.probe)
		return false
	}
	h.failures = 0
	h.slow = now.Sub(sent) > h.grace
	return true
}
