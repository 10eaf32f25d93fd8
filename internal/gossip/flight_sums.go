package gossip

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/fleet"
)

// FlightReport is what a node, a group or a failure domain has under way at upstreams.
type FlightReport struct {
	// From names the node, or the leader of the group or domain.
	From string
	// Group is set when Flight is the sum over the leader's group, Domain when it is that
	// over its failure domain.
	Group, Domain bool
	Flight        fleet.Flight
}

// reportKeeps is how long a report counts: some rounds of news.
const reportKeeps = 800 * time.Millisecond

// FlightSums collects what nodes have under way. A group's leader keeps the reports of its
// members, and the first leader of a failure domain the sums of the domain's other groups
// and of the other domains, so that each node sends and hears one message a round, however
// many nodes there are.
type FlightSums struct {
	members, groups, domains map[string]received
	// rest is what nodes have that report to others, as the node heard to which this one
	// reports.
	rest received
}

type received struct {
	flight fleet.Flight
	at     time.Time
}

// NewFlightSums returns sums of no reports.
func NewFlightSums() *FlightSums {
	return &FlightSums{members: map[string]received{}, groups: map[string]received{}, domains: map[string]received{}}
}

// Take takes a report in place of the sender's last one.
func (s *FlightSums) Take(r FlightReport, now time.Time) {
	to := s.members
	switch {
	case r.Domain:
		to = s.domains
	case r.Group:
		to = s.groups
	}
	to[r.From] = received{r.Flight, now}
}

// TakeRest takes the sum over all nodes from the one to which this one reports, less what
// was reported.
func (s *FlightSums) TakeRest(all, reported fleet.Flight, now time.Time) {
	s.rest = received{fleet.Subtract(all, reported), now}
}

// Answer takes a report and returns its answer: the sum over this failure domain to another
// domain, else that over all nodes.
func (s *FlightSums) Answer(in FlightReport, self string, now time.Time) FlightReport {
	s.Take(in, now)
	if in.Domain {
		return FlightReport{From: self, Domain: true, Flight: s.Domain(now)}
	}
	return FlightReport{From: self, Flight: s.All(now)}
}

// Report is what this node reports to another one: for its group if it leads that.
func (s *FlightSums) Report(self string, role FlightRole, now time.Time) FlightReport {
	return FlightReport{From: self, Group: role.Leads, Flight: s.Group(now)}
}

// Group is the sum over the members of this node's group.
func (s *FlightSums) Group(now time.Time) fleet.Flight { return sum(s.members, now) }

// Domain is the sum over the groups of this node's failure domain.
func (s *FlightSums) Domain(now time.Time) fleet.Flight {
	return fleet.Sum(sum(s.members, now), sum(s.groups, now))
}

// All is the sum over all nodes.
func (s *FlightSums) All(now time.Time) fleet.Flight {
	all := []fleet.Flight{sum(s.members, now), sum(s.groups, now), sum(s.domains, now)}
	if now.Sub(s.rest.at) <= reportKeeps {
		all = append(all, s.rest.flight)
	}
	return fleet.Sum(all...)
}

// sum adds the reports that still count, and drops the others.
func sum(reports map[string]received, now time.Time) fleet.Flight {
	var flights []fleet.Flight
	for from, p := range reports {
		if now.Sub(p.at) > reportKeeps {
			delete(reports, from)
			continue
		}
		flights = append(flights, p.flight)
	}
	return fleet.Sum(flights...)
}
