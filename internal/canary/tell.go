package canary

import (
	"slices"
	"strings"
	"time"
)

// Tallies returns this node's counts of the orders under way, for its peers.
func (c *Canary) Tallies(now time.Time) []Tally {
	var all []Tally
	for _, r := range c.rollouts {
		if r.done(now) {
			continue
		}
		r.own.Seq++
		t := r.own
		t.Verdict, t.Written = r.verdict, r.written
		t.Widened = !r.widened.IsZero()
		if !r.grown.IsZero() {
			t.Shifted, t.ShiftAge = true, now.Sub(r.grown)
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

// Known returns this node's tallies, and for orders whose end is not recorded the newest
// tally of every run of the nodes that of accepts: peers pass on what they have heard.
//
// Once the end is recorded nothing is weighed any more, and it stands in each tally: in a
// fleet of hundreds the counts of all nodes were told for the rest of the day.
func (c *Canary) Known(now time.Time, of func(node string) bool) []Tally {
	all := c.Tallies(now)
	for _, r := range c.rollouts {
		if r.written || r.done(now) {
			continue
		}
		for _, t := range r.peers {
			if of(t.Node) {
				all = append(all, t)
			}
		}
	}
	return all
}

// Merge takes a peer's tally. It reports whether it brought a verdict that was
// not known.
func (c *Canary) Merge(t Tally, now time.Time) bool {
	r := c.rollouts[t.Service]
	if r == nil || r.order.Revision != t.Revision || t.Node == c.node && t.Born == c.born {
		return false
	}
	key := runKey{t.Node, t.Born}
	if old, ok := r.peers[key]; ok && old.Seq >= t.Seq {
		return false
	}
	r.peers[key] = t
	if t.Widened && r.widened.IsZero() {
		r.widened = now
	}
	if t.Shifted && r.grown.IsZero() {
		r.grown = now.Add(-t.ShiftAge)
	}
	if t.Verdict == Open {
		return false
	}
	was := r.verdict
	if was == Open || t.Written && !r.written {
		r.verdict = t.Verdict
	}
	r.written = r.written || t.Written
	return was != r.verdict
}

// Forget drops the work in flight of a node that is gone: it has none.
func (c *Canary) Forget(alive func(node string, born int64) bool) {
	for _, r := range c.rollouts {
		for key, t := range r.peers {
			if t.OldInFlight > 0 && !alive(key.node, key.born) {
				t.OldInFlight = 0
				r.peers[key] = t
			}
		}
	}
}
