package notice

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// mostFresh bounds the changes in one message, mostRepeated what else is told beside
	// them, by turns: news must not grow with the upstreams that are in need.
	mostFresh    = 16
	mostRepeated = 4
	// mostFirst bounds what is told to a peer that was not heard of before.
	mostFirst = 256
	// leavingToldFor is how long peers are told that an upstream leaves: the table's list
	// says so by then, or no longer has it.
	leavingToldFor = 2 * time.Minute
	// forgetAfter is how long the state of a start is kept that is no longer listed.
	forgetAfter = 10 * time.Minute
)

// Register holds the states of all starts of upstreams that this node knows.
type Register struct {
	// origin names this run of the node.
	origin uint64
	base   time.Time
	states map[string]*State
	// active are those of which peers may have to be told; last is the one that was
	// repeated last.
	active map[string]*State
	last   string
}

// NewRegister returns an empty register of a run of a node, which has a number of its own.
func NewRegister(origin uint64) *Register {
	return &Register{origin: origin, states: map[string]*State{}, active: map[string]*State{}}
}

// Of returns the state of a start.
func (r *Register) Of(start string) *State {
	s := r.states[start]
	if s == nil {
		s = &State{start: start}
		r.states[start] = s
	}
	return s
}

// Answer takes what an answer that this node read at a time says; it returns what that has
// changed here.
func (r *Register) Answer(s *State, a Answer, at, now time.Time) (changes []Change) {
	if a.Leaving && s.leave(now) {
		changes = append(changes, r.note(s, Change{Kind: Leaving}))
	}
	if a.Rest > 0 && s.rest(a.Rest, at, now) {
		changes = append(changes, Change{Kind: RestBegan, Until: s.restUntil})
	}
	if a.LimitUnsound {
		return changes
	}
	if c := r.answerLimit(s, a.Limit, at, now); c.Kind != None {
		changes = append(changes, c)
	}
	return changes
}

func (r *Register) answerLimit(s *State, l Limit, at, now time.Time) Change {
	if r.base.IsZero() {
		r.base = at
	}
	seq := int64(at.Sub(r.base))
	if !s.later(r.origin, seq, at) {
		return Change{}
	}
	return r.note(s, s.set(l, r.origin, seq, at, now))
}

// Take takes a peer's report; it returns what that has changed here. Where this node knows
// better, peers are told.
func (r *Register) Take(p Report, now time.Time) (changes []Change) {
	s := r.Of(p.Start)
	if p.Leaving && s.leave(now) {
		changes = append(changes, r.note(s, Change{Kind: Leaving}))
	}
	if c := r.takeLimit(s, p, now); c.Kind != None {
		changes = append(changes, c)
	}
	return changes
}

func (r *Register) takeLimit(s *State, p Report, now time.Time) Change {
	if p.Age < 0 {
		return Change{}
	}
	at := now.Add(-p.Age)
	if s.later(p.Origin, p.Seq, at) {
		return r.note(s, s.set(p.Limit, p.Origin, p.Seq, at, now))
	}
	if p.Limit.Named != s.limit.Named {
		s.tellUntil = now.Add(tellFor)
		r.active[s.start] = s
	}
	return Change{}
}

func (r *Register) note(s *State, c Change) Change {
	if c.Kind != None {
		r.active[s.start] = s
	}
	return c
}

// Reports returns what a peer is told: changes, and some of what is in force; nearly all
// where the peer was not heard of before.
func (r *Register) Reports(now time.Time, first bool) []Report {
	var fresh, standing []*State
	for start, s := range r.active {
		switch {
		case now.Before(s.tellUntil):
			fresh = append(fresh, s)
		case s.limit.Named || s.leaving && now.Sub(s.touched) < leavingToldFor:
			standing = append(standing, s)
		default:
			delete(r.active, start)
		}
	}
	slices.SortFunc(fresh, func(a, b *State) int {
		return cmp.Or(b.tellUntil.Compare(a.tellUntil), cmp.Compare(a.start, b.start))
	})
	mostChanges, mostStanding := mostFresh, mostRepeated
	if first {
		mostChanges, mostStanding = mostFirst, mostFirst
	}
	var all []Report
	for _, s := range fresh[:min(len(fresh), mostChanges)] {
		all = append(all, s.report(now))
	}
	for _, s := range r.turn(standing, mostStanding) {
		all = append(all, s.report(now))
	}
	return all
}

// turn returns some states, those that follow the ones of the last time.
func (r *Register) turn(all []*State, most int) []*State {
	if len(all) <= most {
		return all
	}
	slices.SortFunc(all, func(a, b *State) int { return cmp.Compare(a.start, b.start) })
	first, found := slices.BinarySearchFunc(all, r.last, func(s *State, start string) int { return cmp.Compare(s.start, start) })
	if found {
		first++
	}
	var some []*State
	for i := range most {
		some = append(some, all[(first+i)%len(all)])
	}
	r.last = some[len(some)-1].start
	return some
}

// Limited is how many starts have a rate limit in force.
func (r *Register) Limited() (count int) {
	for _, s := range r.active {
		if s.limit.Named {
			count++
		}
	}
	return count
}

// Sweep forgets starts that are not listed and of which nothing has been heard for long.
func (r *Register) Sweep(now time.Time, listed func(start string) bool) {
	maps.DeleteFunc(r.states, func(start string, s *State) bool {
		old := now.Sub(s.touched) > forgetAfter && !listed(start)
		if old {
			delete(r.active, start)
		}
		return old
	})
}
