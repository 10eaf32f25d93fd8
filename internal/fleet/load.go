package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load is an upstream's own word on its load, as some node heard it.
type Load struct {
	ID string
	// Born tells which start of the upstream said so.
	Born             int64
	Running, Waiting int
	// Age is how long ago it was heard.
	Age time.Duration
}

// tellFor is how long a word on load is told on.
const tellFor = 1500 * time.Millisecond

// Loads returns the latest words on load that are worth telling.
func (f *Fleet) Loads(now time.Time) []Load {
	var all []Load
	for _, u := range f.byID {
		age := now.Sub(u.heardAt)
		if u.heardAt.IsZero() || age > tellFor {
			continue
		}
		all = append(all, Load{ID: u.ID, Born: u.Born, Running: u.running, Waiting: u.waiting, Age: age})
	}
	slices.SortFunc(all, func(a, b Load) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// TakeLoads takes what a peer heard, where it is newer and of the same start of
// the upstream.
func (f *Fleet) TakeLoads(loads []Load, now time.Time) {
	for _, l := range loads {
		u := f.byID[l.ID]
		at := now.Add(-l.Age)
		if u != nil && u.Born == l.Born && at.After(u.heardAt) {
			u.heard(l.Running, l.Waiting, at)
		}
	}
}

// Hash is the same on nodes whose tables listed the same.
func (f *Fleet) Hash() uint64 {
	var sum uint64
	for _, u := range f.byID {
		if u.kept {
			continue
		}
		drain := "+"
		if u.Draining {
			drain = "-"
		}
		sum ^= xxhash.Sum64String(u.Start() + " " + u.Addr + " " + u.Service + " " + u.Version + " " + drain)
	}
	return sum
}
