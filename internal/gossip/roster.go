package gossip

import (
	"slices"
	"strings"
	"time"
)

const (
	// deadRetention is how long a dead member is remembered.
	deadRetention = 60 * time.Second
	// maxMisses is the number of failed calls in a row after which a member counts as dead.
	maxMisses = 2
)

type entry struct {
	Member
	misses int
	diedAt time.Time
}

// Roster is a node's view of the members. It does no I/O and is not safe for concurrent use.
//
// An entry changes only when the member's state does, so that two nodes can compare their
// rosters by a hash. A caller marks a member that does not respond as dead. The mark
// spreads, and a live member refutes it.
type Roster struct {
	self    Member
	members map[string]*entry
	// live are the live members, this node included.
	live liveSet
	// recent are the members that this node itself has seen change, or has learned of last.
	recent recentChanges
	// generation increases with each change of a member.
	generation uint64
	// derived caches values computed from the live members; it is reset when they change.
	derived derived
}

// NewRoster returns a roster that contains only its own node.
func NewRoster(self Member) *Roster {
	self.Beat = 1
	r := &Roster{self: self, members: map[string]*entry{}, live: newLiveSet()}
	r.live.put(self)
	return r
}

// Generation returns a number that increases with each change of a member.
func (r *Roster) Generation() uint64 { return r.generation }

// changed updates what depends on the state of a member, which is nil if the member has
// been forgotten. old is its earlier state, or nil.
func (r *Roster) changed(old, m *Member) {
	r.generation++
	r.derived = derived{}
	if old != nil && (m == nil || m.Dead || m.Domain != old.Domain) {
		r.live.remove(old)
	}
	if m != nil && !m.Dead {
		r.live.put(*m)
	}
}

// Self returns this node's own entry.
func (r *Roster) Self() Member { return r.self }

// SetSelf sets this node's own state and reports whether it changed.
func (r *Roster) SetSelf(ready, leaving bool) bool {
	if r.self.Ready == ready && r.self.Leaving == leaving {
		return false
	}
	r.self.Beat++
	r.self.Ready = ready
	r.self.Leaving = leaving
	r.changed(nil, &r.self)
	return true
}

// Merge merges members received from a peer at now. It returns the members that are new or
// have changed state.
func (r *Roster) Merge(received []Member, now time.Time) []Member {
	var changed []Member
	for _, m := range received {
		if m.ID == r.self.ID {
			r.refute(m)
			continue
		}
		old := r.members[m.ID]
		if m.ID == "" || old == nil && m.Dead || old != nil && !m.newer(&old.Member) {
			continue
		}
		e := &entry{Member: m}
		if m.Dead {
			e.diedAt = now
		}
		r.members[m.ID] = e
		if old != nil {
			r.changed(&old.Member, &e.Member)
		} else {
			r.changed(nil, &e.Member)
		}
		r.recent.add(m.ID, now)
		changed = append(changed, m)
	}
	return changed
}

// refute removes a dead mark from this node's own entry by a greater Beat.
func (r *Roster) refute(m Member) {
	if m.Born == r.self.Born && m.Dead && m.Beat >= r.self.Beat {
		r.self.Beat = m.Beat + 1
		r.changed(nil, &r.self)
	}
}

// Known returns all members, this node first, and drops those dead for 60 s.
func (r *Roster) Known(now time.Time) []Member {
	r.expire(now)
	all := make([]Member, 1, len(r.members)+1)
	all[0] = r.self
	for _, e := range r.members {
		all = append(all, e.Member)
	}
	slices.SortFunc(all[1:], byID)
	return all
}

// Dead returns the dead members, sorted by ID, and drops those dead for 60 s.
func (r *Roster) Dead(now time.Time) []Member {
	r.expire(now)
	var dead []Member
	for _, e := range r.members {
		if e.Dead {
			dead = append(dead, e.Member)
		}
	}
	slices.SortFunc(dead, byID)
	return dead
}

// expire drops the members that have been dead for 60 s.
func (r *Roster) expire(now time.Time) {
	for id, e := range r.members {
		if e.Dead && now.Sub(e.diedAt) > deadRetention {
			delete(r.members, id)
			r.changed(&e.Member, nil)
		}
	}
}

// Alive returns the live members, this node included, sorted by failure domain and ID. The
// caller must not modify the slice, which is valid until the roster changes.
func (r *Roster) Alive() []Member { return r.live.members }

// Get returns the live member with an ID.
func (r *Roster) Get(id string) (m Member, alive bool) {
	if id == r.self.ID {
		return r.self, true
	}
	if e := r.members[id]; e != nil && !e.Dead {
		return e.Member, true
	}
	return Member{}, false
}

// Others returns the live members without this node.
func (r *Roster) Others() []Member {
	return slices.DeleteFunc(slices.Clone(r.Alive()), func(m Member) bool { return m.ID == r.self.ID })
}

// IsAlive reports whether the process of a node with the given start is alive.
func (r *Roster) IsAlive(node string, born int64) bool {
	if node == r.self.ID {
		return born == r.self.Born
	}
	e := r.members[node]
	return e != nil && e.Born == born && !e.Dead
}

// RecordResponse records that a member responded.
func (r *Roster) RecordResponse(id string) {
	if e := r.members[id]; e != nil {
		e.misses = 0
	}
}

// RecordMiss records that a member did not respond, and reports whether this call marked it
// dead.
func (r *Roster) RecordMiss(id string, now time.Time) bool {
	e := r.members[id]
	if e == nil {
		return false
	}
	e.misses++
	if e.Dead || e.misses < maxMisses {
		return false
	}
	old := e.Member
	e.Dead = true
	e.diedAt = now
	r.changed(&old, &e.Member)
	r.recent.add(id, now)
	return true
}

func byID(a, b Member) int { return strings.Compare(a.ID, b.ID) }
