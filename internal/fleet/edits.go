package fleet

import (
	"maps"
	"slices"
	"time"
)

// Edits lead from one list of upstreams to a later one.
type Edits struct {
	// From is the hash of the list that they lead from.
	From uint64
	Put  []Record
	Drop []string
}

const (
	// leastHistory is how many changes of the list are remembered at least, and
	// historyTimes how many for each upstream: a failure domain's upstreams that start
	// again change twice each, as they start and as they have warmed up.
	leastHistory = 512
	historyTimes = 2
)

// history remembers which upstreams' entries changed, and the list's hash before.
type history []change

type change struct {
	before uint64
	id     string
}

// add remembers a change of a list of so many upstreams.
func (h *history) add(before uint64, id string, upstreams int) {
	if len(*h) >= max(leastHistory, historyTimes*upstreams) {
		*h = slices.Clone((*h)[len(*h)/2:])
	}
	*h = append(*h, change{before, id})
}

// EditsSince returns what leads from the list with a hash to the present one; ok is
// false where that is not remembered, or is most of the list.
//
// It guards against news that grow with the list: with 112 upstreams the whole is 20 kB,
// sent to each node of a group at each change of one.
func (f *Fleet) EditsSince(hash uint64, now time.Time) (e Edits, ok bool) {
	at := len(f.history) - 1
	for at >= 0 && f.history[at].before != hash {
		at--
	}
	if at < 0 {
		return Edits{}, false
	}
	ids := map[string]bool{}
	for _, c := range f.history[at:] {
		ids[c.id] = true
	}
	if len(ids) > len(f.byID)/2 {
		return Edits{}, false
	}
	e.From = hash
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		if u := f.byID[id]; u != nil && !u.kept {
			e.Put = append(e.Put, u.recordAt(now))
		} else {
			e.Drop = append(e.Drop, id)
		}
	}
	return e, true
}
