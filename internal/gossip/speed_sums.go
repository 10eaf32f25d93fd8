package gossip

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/fleet"
)

// speedsCountFor is how long a report of speeds counts. It outlasts a few lost ones.
const speedsCountFor = 5 * time.Second

// SpeedSums adds up the nodes' evidence about upstreams' speeds along the ways of
// [FlightSums]. SpeedSums is not safe for concurrent use.
type SpeedSums struct {
	members, groups, domains map[string]timedSpeeds
	// rest is the evidence of all nodes that do not report to this one.
	rest timedSpeeds
	// all is the last sum over all nodes with the reports answered since, reused until a time.
	all timedSpeeds
}

// speedSumInterval is how long a sum over all nodes is reused. A leader answers each member
// once in that time.
const speedSumInterval = 500 * time.Millisecond

// timedSpeeds is a report that counts until a time.
type timedSpeeds struct {
	speeds fleet.Speeds
	until  time.Time
}

// NewSpeedSums returns sums without reports.
func NewSpeedSums() *SpeedSums {
	return &SpeedSums{members: map[string]timedSpeeds{}, groups: map[string]timedSpeeds{}, domains: map[string]timedSpeeds{}}
}

// Record records a report's speeds, if it has any, in place of the sender's previous ones, also
// those of another role. They are bounded by the number of nodes that the sender speaks for.
func (s *SpeedSums) Record(r FlightReport, now time.Time) {
	if !r.HasSpeeds {
		return
	}
	delete(s.members, r.From)
	delete(s.groups, r.From)
	delete(s.domains, r.From)
	to := s.members
	switch {
	case r.Domain:
		to = s.domains
	case r.Group:
		to = s.groups
	}
	to[r.From] = timedSpeeds{r.boundedSpeeds(), now.Add(speedsCountFor)}
}

// boundedSpeeds returns the report's speeds within what the nodes it speaks for may know.
func (r *FlightReport) boundedSpeeds() fleet.Speeds {
	switch {
	case r.Domain:
		return r.Speeds.Bounded(maxDomainSize)
	case r.Group:
		return r.Speeds.Bounded(maxGroupSize)
	default:
		return r.Speeds.Bounded(1)
	}
}

// Answer records a report and returns the response's speeds: the sum over this failure domain if
// the report is from another domain, otherwise the sum over all nodes. ok is false if the report
// has none.
func (s *SpeedSums) Answer(in FlightReport, now time.Time) (out fleet.Speeds, ok bool) {
	if !in.HasSpeeds {
		return fleet.Speeds{}, false
	}
	previous := s.members[in.From].speeds
	if r, leads := s.groups[in.From]; leads {
		previous = r.speeds
	}
	s.Record(in, now)
	switch {
	case in.Domain:
		return s.Domain(now), true
	case now.Before(s.all.until):
		// The sum must hold exactly the sender's part that the sender subtracts.
		s.all.speeds = fleet.SumSpeeds(fleet.SubtractSpeeds(s.all.speeds, previous), in.boundedSpeeds()).Strongest(fleet.MaxSpeedEntries)
	default:
		s.all = timedSpeeds{s.All(now), now.Add(speedSumInterval)}
	}
	return s.all.speeds, true
}

// maxDomainSize is the number of nodes of a failure domain whose evidence counts in full.
const maxDomainSize = 2048

// Relays reports whether this node holds evidence of others, which it passes on.
func (s *SpeedSums) Relays(self string) bool {
	held := len(s.members) + len(s.groups) + len(s.domains)
	if _, own := s.members[self]; own {
		held--
	}
	return held > 0
}

// RecordRest records the response of the node that this one reports to, less this node's own
// report.
func (s *SpeedSums) RecordRest(all, reported FlightReport, now time.Time) {
	if all.HasSpeeds && reported.HasSpeeds {
		s.rest = timedSpeeds{fleet.SubtractSpeeds(all.Speeds, reported.Speeds), now.Add(speedsCountFor)}
	}
}

// ForgetRest drops the former leader's sum over all other nodes: those that reported to it report
// to this node now, and would count twice.
func (s *SpeedSums) ForgetRest() { s.rest = timedSpeeds{} }

// Group returns the sum over the members of this node's group.
func (s *SpeedSums) Group(now time.Time) fleet.Speeds {
	return sumSpeeds(s.members, now).Strongest(fleet.MaxSpeedEntries)
}

// maxDomainEntries is the maximum number of upstreams in the speeds that a first leader sends to
// all other failure domains together.
const maxDomainEntries = 512

// Domain returns the sum over the groups of this node's failure domain, of fewer upstreams the
// more other domains it is exchanged with.
func (s *SpeedSums) Domain(now time.Time) fleet.Speeds {
	return fleet.SumSpeeds(sumSpeeds(s.members, now), sumSpeeds(s.groups, now)).Strongest(min(fleet.MaxSpeedEntries, maxDomainEntries/max(len(s.domains), 1)))
}

// All returns the sum over all nodes.
func (s *SpeedSums) All(now time.Time) fleet.Speeds {
	all := []fleet.Speeds{sumSpeeds(s.members, now), sumSpeeds(s.groups, now), sumSpeeds(s.domains, now)}
	if !now.After(s.rest.until) {
		all = append(all, s.rest.speeds)
	}
	return fleet.SumSpeeds(all...).Strongest(fleet.MaxSpeedEntries)
}

// sumSpeeds adds up the reports that still count and deletes the others.
func sumSpeeds(reports map[string]timedSpeeds, now time.Time) fleet.Speeds {
	var speeds []fleet.Speeds
	for from, r := range reports {
		if now.After(r.until) {
			delete(reports, from)
			continue
		}
		speeds = append(speeds, r.speeds)
	}
	return fleet.SumSpeeds(speeds...)
}
