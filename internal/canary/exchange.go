package canary

import (
	"slices"
	"strings"
	"time"
)

// Tallies returns this node's own tallies, to be sent to its peers.
func (c *Canary) Tallies(now time.Time) []Tally {
	var all []Tally
	for _, r := range c.rollouts {
		if r.expired(now) {
			continue
		}
		c.countUnfinished(r, now)
		r.own.Seq++
		t := r.own
		t.Verdict, t.Written = r.verdict, r.written
		t.WidenedShare = r.widenedShare
		if !r.shiftedAt.IsZero() {
			t.Shifted, t.ShiftAge = true, now.Sub(r.shiftedAt)
		}
		for _, n := range r.counts {
			t.Routes = append(t.Routes, *n)
		}
		slices.SortFunc(t.Routes, func(a, b RouteCount) int { return strings.Compare(a.Route, b.Route) })
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b Tally) int { return strings.Compare(a.Service, b.Service) })
	return all
}

// TalliesToRelay returns this node's tallies. For orders whose verdict is not recorded it adds the
// newest tally of every node run whose node accepts selects, so that peers pass on what
// they have received.
//
// A recorded verdict stands in each tally and ends the evaluation. Passing on all nodes'
// counts beyond it kept a fleet of hundreds sending them for the rest of the day.
func (c *Canary) TalliesToRelay(now time.Time, accepts func(node string) bool) []Tally {
	all := c.Tallies(now)
	for _, r := range c.rollouts {
		if r.written || r.expired(now) {
			continue
		}
		for _, t := range r.peers {
			if accepts(t.Node) {
				all = append(all, t)
			}
		}
	}
	return all
}

// Merge adds a peer's tally. It reports whether the tally changed the verdict.
func (c *Canary) Merge(t Tally, now time.Time) bool {
	r := c.rollouts[t.Service]
	if r == nil || !r.isOf(t.Revision) || t.Node == c.node && t.Born == c.born {
		return false
	}
	key := runKey{t.Node, t.Born}
	if old, ok := r.peers[key]; ok && old.Seq >= t.Seq {
		return false
	}
	// The table may have lost what it held of an earlier revision. Others may not know that one.
	t.Written = t.Written && t.Revision == r.order.Revision
	t.Revision = r.order.Revision
	if !t.isPlausible() {
		t.Routes, t.Classes = nil, ClassCounts{}
	}
	r.peers[key] = t
	r.widenedShare = max(r.widenedShare, t.WidenedShare)
	if t.Shifted && r.shiftedAt.IsZero() {
		r.shiftedAt = now.Add(-t.ShiftAge)
	}
	if t.Verdict == Open {
		return false
	}
	before := r.verdict
	if before == Open || t.Written && !r.written {
		r.verdict = t.Verdict
	}
	r.written = r.written || t.Written
	return before != r.verdict
}

// ClearInFlight clears the attempts in flight of node runs that alive reports as gone.
func (c *Canary) ClearInFlight(alive func(node string, born int64) bool) {
	for _, r := range c.rollouts {
		for key, t := range r.peers {
			if t.OldInFlight > 0 && !alive(key.node, key.born) {
				t.OldInFlight = 0
				if !t.isPlausible() {
					t.Routes, t.Classes = nil, ClassCounts{}
				}
				r.peers[key] = t
			}
		}
	}
}
