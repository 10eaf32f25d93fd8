package evacuation

import (
	"github.com/hickorybank/hickorybank/internal/revision"
	"maps"
	"slices"
	"strings"
)

// Orders holds the orders that a node knows. It includes ended ones: without them, a peer
// that was partitioned would restore an order that has ended.
type Orders struct{ byDomain map[string]Order }

// New returns an empty set of orders.
func New() *Orders { return &Orders{byDomain: map[string]Order{}} }

// Apply applies an order. It reports whether the domain's evacuation began or ended by it.
// An order without a domain is ignored.
func (s *Orders) Apply(o Order) (changed bool) {
	known, ok := s.byDomain[o.Domain]
	if o.Domain == "" || ok && !o.supersedes(&known) {
		return false
	}
	s.byDomain[o.Domain] = o
	wasActive := ok && !known.Ended
	return wasActive == o.Ended
}

// EndUnlisted ends the orders that a full read of the table at a revision does not list. It
// returns the ended states of those that were active.
func (s *Orders) EndUnlisted(listed []Order, at revision.Revision) (ended []Order) {
	for _, o := range s.All() {
		if o.Ended || slices.ContainsFunc(listed, func(l Order) bool { return l.Domain == o.Domain }) {
			continue
		}
		end := Order{Domain: o.Domain, Revision: at, Ended: true}
		if s.Apply(end) {
			ended = append(ended, end)
		}
	}
	return ended
}

// Active reports whether a domain is under evacuation.
func (s *Orders) Active(domain string) bool {
	o, ok := s.byDomain[domain]
	return ok && !o.Ended
}

// HasEnded reports whether a domain's last order is known to have ended.
func (s *Orders) HasEnded(domain string) bool {
	o, ok := s.byDomain[domain]
	return ok && o.Ended
}

// All returns the state of each domain that ever had an order, sorted by domain name.
func (s *Orders) All() []Order {
	return slices.SortedFunc(maps.Values(s.byDomain), func(a, b Order) int { return strings.Compare(a.Domain, b.Domain) })
}
