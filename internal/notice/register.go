package notice

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxFresh caps the recent changes in one message. maxRepeated caps the unchanged
	// states that the message repeats in turn. The size of messages must not grow with the
	// number of upstreams that advertise limits.
	maxFresh    = 16
	maxRepeated = 4
	// maxToNewPeer caps each of both kinds in the first message to a peer.
	maxToNewPeer = 256
	// leavingReportedFor is how long a shutdown is reported to peers. By then the table
	// marks the upstream as draining or no longer lists it.
	leavingReportedFor = 2 * time.Minute
	// forgetAfter is how long the state of an unlisted incarnation is kept.
	forgetAfter = 10 * time.Minute
)

// Register holds the states of all incarnations of upstreams that this node knows.
type Register struct {
	// origin identifies this run of the node.
	origin uint64
	// clockBase is the zero of the sequence numbers of this run: the time of its first
	// response.
	clockBase time.Time
	states    map[string]*State
	// reportable holds the states that may have to be reported to peers. lastRepeated is
	// the incarnation that was repeated last.
	reportable   map[string]*State
	lastRepeated string
}

// NewRegister returns an empty register. The origin identifies this run of the node and
// must differ from that of all other runs.
func NewRegister(origin uint64) *Register {
	return &Register{origin: origin, states: map[string]*State{}, reportable: map[string]*State{}}
}

// Known returns the state of an incarnation, or nil if it has announced nothing.
func (r *Register) Known(incarnation string) *State { return r.states[incarnation] }

// StateOf returns the state of an incarnation and creates it if it is unknown.
func (r *Register) StateOf(incarnation string) *State {
	s := r.states[incarnation]
	if s == nil {
		s = &State{incarnation: incarnation}
		r.states[incarnation] = s
	}
	return s
}

// ApplyResponse applies a response that this node read at the time at. It returns the
// resulting changes at this node.
func (r *Register) ApplyResponse(s *State, response Response, at, now time.Time) (changes []Change) {
	if response.Leaving && s.setLeaving(now) {
		changes = append(changes, r.markReportable(s, Change{Kind: Leaving}))
	}
	if response.Backoff > 0 && s.setBackoff(response.Backoff, at, now) {
		changes = append(changes, Change{Kind: BackoffBegan, Until: s.backoffUntil})
	}
	if response.LimitInvalid {
		return changes
	}
	if c := r.applyResponseLimit(s, response.Limit, at, now); c.Kind != None {
		changes = append(changes, c)
	}
	return changes
}

func (r *Register) applyResponseLimit(s *State, l Limit, at, now time.Time) Change {
	if r.clockBase.IsZero() {
		r.clockBase = at
	}
	seq := int64(at.Sub(r.clockBase))
	if !s.isOlderThan(r.origin, seq, at) {
		return Change{}
	}
	return r.markReportable(s, s.setLimit(l, r.origin, seq, at, now))
}

// ApplyReport applies a peer's report and returns the resulting changes at this node. If
// this node's limit state is newer and differs, it is reported to the peers again.
func (r *Register) ApplyReport(p Report, now time.Time) (changes []Change) {
	s := r.StateOf(p.Start)
	if p.Leaving && s.setLeaving(now) {
		changes = append(changes, r.markReportable(s, Change{Kind: Leaving}))
	}
	if c := r.applyReportLimit(s, p, now); c.Kind != None {
		changes = append(changes, c)
	}
	return changes
}

func (r *Register) applyReportLimit(s *State, p Report, now time.Time) Change {
	if p.Age < 0 {
		return Change{}
	}
	at := now.Add(-p.Age)
	if s.isOlderThan(p.Origin, p.Seq, at) {
		return r.markReportable(s, s.setLimit(p.Limit, p.Origin, p.Seq, at, now))
	}
	if p.Limit.inForce() != s.limit.inForce() {
		s.freshUntil = now.Add(freshFor)
		r.reportable[s.incarnation] = s
	}
	return Change{}
}

func (r *Register) markReportable(s *State, c Change) Change {
	if c.Kind != None {
		r.reportable[s.incarnation] = s
	}
	return c
}

// Reports returns the reports for a peer: recent changes, and some of the unchanged states
// in force. A new peer, one without an earlier message, gets nearly all of them.
func (r *Register) Reports(now time.Time, newPeer bool) []Report {
	var fresh, unchanged []*State
	for incarnation, s := range r.reportable {
		switch {
		case now.Before(s.freshUntil):
			fresh = append(fresh, s)
		case s.limit.inForce() || s.leaving && now.Sub(s.updatedAt) < leavingReportedFor:
			unchanged = append(unchanged, s)
		default:
			delete(r.reportable, incarnation)
		}
	}
	slices.SortFunc(fresh, func(a, b *State) int {
		return cmp.Or(b.freshUntil.Compare(a.freshUntil), cmp.Compare(a.incarnation, b.incarnation))
	})
	maxChanges, maxUnchanged := maxFresh, maxRepeated
	if newPeer {
		maxChanges, maxUnchanged = maxToNewPeer, maxToNewPeer
	}
	var all []Report
	for _, s := range fresh[:min(len(fresh), maxChanges)] {
		all = append(all, s.report(now))
	}
	for _, s := range r.nextInTurn(unchanged, maxUnchanged) {
		all = append(all, s.report(now))
	}
	return all
}

// nextInTurn returns up to limit states: those that follow the ones returned last, in order
// of their incarnations.
func (r *Register) nextInTurn(all []*State, limit int) []*State {
	if len(all) <= limit {
		return all
	}
	slices.SortFunc(all, func(a, b *State) int { return cmp.Compare(a.incarnation, b.incarnation) })
	next, found := slices.BinarySearchFunc(all, r.lastRepeated, func(s *State, incarnation string) int { return cmp.Compare(s.incarnation, incarnation) })
	if found {
		next++
	}
	var batch []*State
	for i := range limit {
		batch = append(batch, all[(next+i)%len(all)])
	}
	r.lastRepeated = batch[len(batch)-1].incarnation
	return batch
}

// Limited returns the number of incarnations with a rate limit in force.
func (r *Register) Limited() (count int) {
	for _, s := range r.reportable {
		if s.limit.Named {
			count++
		}
	}
	return count
}

// Sweep removes the states of incarnations that are not listed and were not updated for
// forgetAfter.
func (r *Register) Sweep(now time.Time, listed func(incarnation string) bool) {
	maps.DeleteFunc(r.states, func(incarnation string, s *State) bool {
		expired := now.Sub(s.updatedAt) > forgetAfter && !listed(incarnation)
		if expired {
			delete(r.reportable, incarnation)
		}
		return expired
	})
}
