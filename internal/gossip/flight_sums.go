package gossip

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/fleet"
)

// FlightReport is the in-flight work of a node, a group or a failure domain at upstreams.
type FlightReport struct {
	// From is the ID of the node, or of the leader of the group or domain.
	From string
	// Group is set if Flight is the sum over the leader's group, Domain if it is the sum
	// over its failure domain.
	Group, Domain bool
	// Period is the time until the sender's next report.
	Period time.Duration
	Flight fleet.Flight
	// Speeds is the evidence about upstreams' speeds, which is sent less often. HasSpeeds is
	// set if it is, even if it is empty.
	Speeds    fleet.Speeds
	HasSpeeds bool
}

// reportPeriods is how long a report counts, in periods of its sender.
const reportPeriods = 4

// FlightSums adds up the in-flight work of nodes. A group's leader keeps the reports of its
// members. The first leader of a failure domain also keeps the sums of the domain's other
// groups and of the other domains. An ordinary member thus sends and receives one message
// per round, however many nodes there are. FlightSums is not safe for concurrent use.
type FlightSums struct {
	members, groups, domains map[string]timedFlight
	// rest is the work of all nodes that do not report to this one, from the response of
	// the node that this one reports to.
	rest timedFlight
	// all is the last sum over all nodes, which many reports ask for; it is reused until a
	// time.
	all timedFlight
}

// sumInterval is how long a sum over all nodes is reused.
const sumInterval = 40 * time.Millisecond

// timedFlight is a report that counts until a time.
type timedFlight struct {
	flight fleet.Flight
	until  time.Time
}

// NewFlightSums returns sums without reports.
func NewFlightSums() *FlightSums {
	return &FlightSums{members: map[string]timedFlight{}, groups: map[string]timedFlight{}, domains: map[string]timedFlight{}}
}

// Record records a report in place of the sender's previous one.
func (s *FlightSums) Record(r FlightReport, now time.Time) {
	to := s.members
	switch {
	case r.Domain:
		to = s.domains
	case r.Group:
		to = s.groups
	}
	to[r.From] = timedFlight{r.Flight, now.Add(reportPeriods * r.Period)}
}

// RecordRest records the response of the node that this one reports to: all is the sum over
// all nodes, and reported is this node's own report, whose part of it is subtracted.
func (s *FlightSums) RecordRest(all fleet.Flight, reported FlightReport, now time.Time) {
	s.rest = timedFlight{fleet.Subtract(all, reported.Flight), now.Add(reportPeriods * reported.Period)}
}

// Answer records a report and returns the response: the sum over this failure domain if the
// report is from another domain, otherwise the sum over all nodes.
func (s *FlightSums) Answer(in FlightReport, self string, now time.Time) FlightReport {
	s.Record(in, now)
	if in.Domain {
		return FlightReport{From: self, Domain: true, Period: in.Period, Flight: s.Domain(now)}
	}
	if !now.Before(s.all.until) {
		s.all = timedFlight{s.All(now), now.Add(sumInterval)}
	}
	return FlightReport{From: self, Flight: s.all.flight}
}

// Report returns this node's report to another node, which counts for a few periods. It covers
// the group if this node leads one.
func (s *FlightSums) Report(self string, role FlightRole, period time.Duration, now time.Time) FlightReport {
	return FlightReport{From: self, Group: role.Leads, Period: period, Flight: s.Group(now)}
}

// Group returns the sum over the members of this node's group.
func (s *FlightSums) Group(now time.Time) fleet.Flight { return sum(s.members, now) }

// Domain returns the sum over the groups of this node's failure domain, of the busiest
// upstreams.
func (s *FlightSums) Domain(now time.Time) fleet.Flight {
	return fleet.Sum(sum(s.members, now), sum(s.groups, now)).Busiest()
}

// All returns the sum over all nodes, of the busiest upstreams.
func (s *FlightSums) All(now time.Time) fleet.Flight {
	all := []fleet.Flight{sum(s.members, now), sum(s.groups, now), sum(s.domains, now)}
	if !now.After(s.rest.until) {
		all = append(all, s.rest.flight)
	}
	return fleet.Sum(all...).Busiest()
}

// sum adds up the reports that still count and deletes the others.
func sum(reports map[string]timedFlight, now time.Time) fleet.Flight {
	var flights []fleet.Flight
	for from, p := range reports {
		if now.After(p.until) {
			delete(reports, from)
			continue
		}
		flights = append(flights, p.flight)
	}
	return fleet.Sum(flights...)
}
