package gossip

import (
	"slices"
	"strings"
	"time"
)

const (
	// aliveFor is how long a member counts as alive after its last beat was
	// heard: a beat takes a few exchanges to reach every node.
	aliveFor = 3 * time.Second
	// forgetAfter is when a silent member is dropped.
	forgetAfter = 60 * time.Second
)

type entry struct {
	Member
	heard time.Time
}

// Roster is what a node knows of its peers.
type Roster struct {
	self    Member
	members map[string]*entry
}

// NewRoster returns a roster that knows only its own node.
func NewRoster(self Member) *Roster {
	return &Roster{self: self, members: map[string]*entry{}}
}

// Self returns this node's own entry.
func (r *Roster) Self() Member { return r.self }

// Beat counts on this node's own beat and takes its state.
func (r *Roster) Beat(ready, leaving bool) {
	r.self.Beat++
	r.self.Ready = ready
	r.self.Leaving = leaving
}

// Merge takes what a peer knows. It returns the members that are new or have
// changed their state.
func (r *Roster) Merge(news []Member, now time.Time) []Member {
	var changed []Member
	for _, m := range news {
		if m.ID == r.self.ID || m.ID == "" {
			continue
		}
		old := r.members[m.ID]
		if old != nil && (m.Born < old.Born || m.Born == old.Born && m.Beat <= old.Beat) {
			continue
		}
		heard := now.Add(-m.Age)
		if old != nil && old.Born == m.Born && heard.Before(old.heard) {
			heard = old.heard
		}
		wasAlive := old != nil && now.Sub(old.heard) < aliveFor
		if old == nil || !wasAlive || old.Born != m.Born || old.Ready != m.Ready || old.Leaving != m.Leaving {
			changed = append(changed, m)
		}
		m.Age = 0
		r.members[m.ID] = &entry{m, heard}
	}
	return changed
}

// Known returns all members that are worth telling of, this node first.
func (r *Roster) Known(now time.Time) []Member {
	all := []Member{r.self}
	for id, e := range r.members {
		age := now.Sub(e.heard)
		if age > forgetAfter {
			delete(r.members, id)
			continue
		}
		m := e.Member
		m.Age = age
		all = append(all, m)
	}
	slices.SortFunc(all[1:], byID)
	return all
}

// Alive returns the members that live, this node included.
func (r *Roster) Alive(now time.Time) []Member {
	all := []Member{r.self}
	for _, e := range r.members {
		if now.Sub(e.heard) < aliveFor {
			all = append(all, e.Member)
		}
	}
	slices.SortFunc(all, byID)
	return all
}

// Others returns the members that live, without this node.
func (r *Roster) Others(now time.Time) []Member {
	return slices.DeleteFunc(r.Alive(now), func(m Member) bool { return m.ID == r.self.ID })
}

// Lives tells whether a run of a node lives.
func (r *Roster) Lives(node string, born int64, now time.Time) bool {
	if node == r.self.ID {
		return born == r.self.Born
	}
	e := r.members[node]
	return e != nil && e.Born == born && now.Sub(e.heard) < aliveFor
}

// Unreached notes that a member did not answer; it is then not alive until its
// beat is heard again from somebody.
func (r *Roster) Unreached(id string, now time.Time) {
	if e := r.members[id]; e != nil {
		e.heard = now.Add(-aliveFor)
	}
}

func byID(a, b Member) int { return strings.Compare(a.ID, b.ID) }
