package bill

import (
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/fate"
)

// failuresToDown is how many failures in a row make a store count as down.
// One alone may be a write that exceeded the platform's limit.
const failuresToDown = 2

// health is what a collector believes of a store. A store that is down gets a
// probe now and then; so does one that is slow, while the other is better.
// When there is no better one, a slow store gets all rows, but nobody waits
// for it: if it only got probes, the backlog would grow without end.
type health struct {
	grace time.Duration
	probe time.Duration
	most  int         // writes that may be out
	out   []time.Time // when the writes that are out were sent

	failures int
	slow     bool
	probeAt  time.Time
}

func (h *health) down() bool { return h.failures >= failuresToDown }

// fit says whether bills should wait for the store.
func (h *health) fit() bool { return !h.down() && !h.slow }

// usable says whether a write may be sent now.
func (h *health) usable(now time.Time, other *health) bool {
	if len(h.out) >= h.most {
		return false
	}
	best := !h.down() && !other.fit()
	return h.fit() || best || !now.Before(h.probeAt)
}

// sent notes a write.
func (h *health) sent(now time.Time) {
	h.out = append(h.out, now)
	if !h.fit() {
		h.probeAt = now.Add(h.probe)
	}
}

// notice finds out whether a write takes longer than the grace. Without it, a
// store that hangs would hold each batch for as long as a call may take.
func (h *health) notice(now time.Time) {
	for _, sent := range h.out {
		if now.Sub(sent) > h.grace {
			h.overdue(now)
		}
	}
}

func (h *health) overdue(now time.Time) {
	if !h.slow {
		h.slow = true
		h.probeAt = now.Add(h.probe)
	}
}

// done takes the fate of a write and says whether the row is stored.
func (h *health) done(now, sent time.Time, f fate.Fate) bool {
	if i := slices.Index(h.out, sent); i >= 0 {
		h.out = slices.Delete(h.out, i, i+1)
	}
	if f != fate.Applied && f != fate.Conflict {
		h.failures++
		h.probeAt = now.Add(h.probe)
		return false
	}
	h.failures = 0
	h.slow = false
	if now.Sub(sent) > h.grace {
		h.overdue(now)
	}
	return true
}
