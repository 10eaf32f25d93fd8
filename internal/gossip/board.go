package gossip

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/fleet"
)

// FlightReport is what a node, or a group of nodes, has under way at upstreams.
type FlightReport struct {
	// From names the node, or the reader of the group.
	From string
	// Group is set when Flight is the sum over the reader's group.
	Group  bool
	Flight fleet.Flight
}

// boardKeeps is how long a report counts: some rounds of news.
const boardKeeps = 800 * time.Millisecond

// Board collects what nodes have under way. A group's reader keeps the reports
// of its members and the sums of the other groups, so that each node sends and
// hears one message a round, however many nodes there are.
type Board struct {
	members, groups map[string]posted
}

type posted struct {
	flight fleet.Flight
	at     time.Time
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{members: map[string]posted{}, groups: map[string]posted{}} }

// Post takes a report in place of the sender's last one.
func (b *Board) Post(r FlightReport, now time.Time) {
	to := b.members
	if r.Group {
		to = b.groups
	}
	to[r.From] = posted{r.Flight, now}
}

// Group is the sum over the members of this node's group.
func (b *Board) Group(now time.Time) fleet.Flight { return sum(b.members, now) }

// All is the sum over all groups.
func (b *Board) All(now time.Time) fleet.Flight {
	return fleet.Sum(sum(b.members, now), sum(b.groups, now))
}

// sum adds the reports that still count, and drops the others.
func sum(reports map[string]posted, now time.Time) fleet.Flight {
	var flights []fleet.Flight
	for from, p := range reports {
		if now.Sub(p.at) > boardKeeps {
			delete(reports, from)
			continue
		}
		flights = append(flights, p.flight)
	}
	return fleet.Sum(flights...)
}
