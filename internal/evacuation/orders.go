package evacuation

import (
	"maps"
	"slices"
	"strings"
)

// Orders are the orders that a node knows, ended ones too: without those, a peer that
// has been cut off would bring an old order back.
type Orders struct{ byDomain map[string]Order }

// New returns no orders.
func New() *Orders { return &Orders{byDomain: map[string]Order{}} }

// Take takes an order; it reports whether its domain's state is another now.
func (s *Orders) Take(o Order) (changed bool) {
	known, ok := s.byDomain[o.Domain]
	if o.Domain == "" || ok && !o.newer(&known) {
		return false
	}
	s.byDomain[o.Domain] = o
	wasActive := ok && !known.Ended
	return wasActive == o.Ended
}

// EndOthers ends the orders that a complete reading of the table at a revision does not
// list; it returns those that were active.
func (s *Orders) EndOthers(listed []Order, revision uint64) (ended []Order) {
	for _, o := range s.All() {
		if o.Ended || slices.ContainsFunc(listed, func(l Order) bool { return l.Domain == o.Domain }) {
			continue
		}
		end := Order{Domain: o.Domain, Revision: revision, Ended: true}
		if s.Take(end) {
			ended = append(ended, end)
		}
	}
	return ended
}

// Active tells whether a domain is to be evacuated.
func (s *Orders) Active(domain string) bool {
	o, ok := s.byDomain[domain]
	return ok && !o.Ended
}

// All returns the state of each domain that had an order, by its name.
func (s *Orders) All() []Order {
	return slices.SortedFunc(maps.Values(s.byDomain), func(a, b Order) int { return strings.Compare(a.Domain, b.Domain) })
}
