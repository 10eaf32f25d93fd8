package gossip

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/fleet"
)

// FlightReport is what a node, or a group of nodes, has under way at upstreams.
type FlightReport struct {
	// From names the node, or the leader of the group.
	From string
	// Group is set when Flight is the sum over the leader's group.
	Group  bool
	Flight fleet.Flight
}

// reportKeeps is how long a report counts: some rounds of news.
const reportKeeps = 800 * time.Millisecond

// FlightSums collects what nodes have under way. A group's leader keeps the reports
// of its members and the sums of the other groups, so that each node sends and
// hears one message a round, however many nodes there are.
type FlightSums struct {
	members, groups map[string]received
}

type received struct {
	flight fleet.Flight
	at     time.Time
}

// NewFlightSums returns sums of no reports.
func NewFlightSums() *FlightSums {
	return &FlightSums{members: map[string]received{}, groups: map[string]received{}}
}

// Take takes a report in place of the sender's last one.
func (s *FlightSums) Take(r FlightReport, now time.Time) {
	to := s.members
	if r.Group {
		to = s.groups
	}
	to[r.From] = received{r.Flight, now}
}

// Group is the sum over the members of this node's group.
func (s *FlightSums) Group(now time.Time) fleet.Flight { return sum(s.members, now) }

// All is the sum over all groups.
func (s *FlightSums) All(now time.Time) fleet.Flight {
	return fleet.Sum(sum(s.members, now), sum(s.groups, now))
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
