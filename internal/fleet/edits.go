package fleet

import (
	"github.com/hickorybank/hickorybank/internal/revision"
	"maps"
	"slices"
	"time"
)

// Edits are the differences between one list of upstreams and a later one.
type Edits struct {
	// From is the hash of the list that the edits apply to.
	From uint64
	// Put are the new and changed records; Drop are the IDs of the removed upstreams.
	Put  RecordColumns
	Drop []string
}

// Len returns the number of edits.
func (e *Edits) Len() int { return e.Put.Len() + len(e.Drop) }

// editsReuse is how long edits between two lists are reused: a leader sends the same ones to
// all nodes of its group.
const editsReuse = 100 * time.Millisecond

// knownEdits are the edits that were computed last.
type knownEdits struct {
	Edits
	revision revision.Revision
	to       uint64
	ok       bool
	at       time.Time
}

const (
	// messageEdits is how many edits one message carries, as it does a piece of the list: 32 kB
	// of 42 bytes each. A list that has to be fetched is late by a round trip, and in another
	// failure domain by the time for which that is put off.
	messageEdits = 32 << 10 / 42
	// minHistory is the minimum number of changes of the list that are remembered.
	// historyPerUpstream is the number per upstream: when a failure domain's upstreams
	// restart, each changes twice, at its start and at the end of its warm-up.
	minHistory         = 512
	historyPerUpstream = 2
)

// history records which upstreams changed, with the list's hash before each change and the
// table's revision at which this node learned of it.
type history []change

type change struct {
	hashBefore uint64
	revision   revision.Revision
	id         string
}

// add records a change of a list with the given number of upstreams.
func (h *history) add(c change, upstreams int) {
	if len(*h) >= max(minHistory, historyPerUpstream*upstreams) {
		*h = slices.Clone((*h)[len(*h)/2:])
	}
	*h = append(*h, c)
}

// since returns the changes that lead from a list with a hash, read at a revision, to the
// current one; none if they are not known.
//
// Nodes that receive the readings of different readers have lists in between each other's:
// their hashes are not in each other's histories, but what changed after their revisions is.
func (h history) since(hash uint64, from revision.Revision) []change {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].hashBefore == hash {
			return h[i:]
		}
	}
	if len(h) == 0 || from == 0 || h[0].revision > from {
		return nil
	}
	first := len(h)
	for first > 0 && h[first-1].revision > from {
		first--
	}
	return h[first:]
}

// EditsSince returns the edits from a list with a hash, read at a revision, to the current
// list. ok is false if they are not known, or if it is better to transfer the whole list: if
// they are more than the list has upstreams, or cover more than half of it and are too long
// for one message.
//
// Without edits, messages grow with the list: for 112 upstreams the full list has 20 kB,
// and each change would send it to every node of a group.
func (f *Fleet) EditsSince(hash uint64, from revision.Revision, now time.Time) (e Edits, ok bool) {
	k := &f.lastEdits
	if k.From != hash || k.revision != from || k.to != f.listHash || now.Sub(k.at) > editsReuse {
		e, ok = f.editsSince(hash, from, now)
		e.From = hash
		*k = knownEdits{e, from, f.listHash, ok, now}
	}
	if !k.ok {
		return Edits{}, false
	}
	return k.Edits, true
}

func (f *Fleet) editsSince(hash uint64, from revision.Revision, now time.Time) (e Edits, ok bool) {
	changes := f.history.since(hash, from)
	if len(changes) == 0 {
		return Edits{}, false
	}
	ids := map[string]bool{}
	for _, c := range changes {
		ids[c.id] = true
	}
	if len(ids) > max(len(f.byID)/2, min(len(f.byID), messageEdits)) {
		return Edits{}, false
	}
	var put []Record
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		if u := f.byID[id]; u != nil && !u.unlisted {
			put = append(put, u.recordAt(now))
		} else {
			e.Drop = append(e.Drop, id)
		}
	}
	e.Put = NewRecordColumns(put)
	return e, true
}
