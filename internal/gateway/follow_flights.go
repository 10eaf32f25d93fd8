package gateway

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/gossip"
)

// flightsEvery is the pause between a node's reports of what it has under way.
const flightsEvery = 200 * time.Millisecond

// followFlights tells the leader of this node's group what it has under way, and
// hears what all nodes have. Without an answer the upstreams' own words count.
func (n *Node) followFlights(ctx context.Context) {
	for pause(ctx, flightsEvery) {
		n.mu.Lock()
		own := n.fleet.Flight()
		groups := n.roster.Groups()
		leader := n.roster.Group()[0]
		n.mu.Unlock()
		if leader.ID == n.settings.ID {
			n.tellLeaders(own, groups)
			continue
		}
		if leader.Peer == "" {
			continue
		}
		all, err := n.peers.Flights(leader.Peer, gossip.FlightReport{From: n.settings.ID, Flight: own})
		if err != nil {
			continue // the leader's loss is noticed by the usual news
		}
		n.mu.Lock()
		n.fleet.TakeFlight(all.Flight, own, time.Now())
		n.mu.Unlock()
	}
}

// tellLeaders exchanges the sum over this leader's group with the leaders of the
// other groups. Of two leaders one calls, as both learn in an exchange what they need.
func (n *Node) tellLeaders(own fleet.Flight, groups [][]gossip.Member) {
	now := time.Now()
	n.mu.Lock()
	n.flights.Take(gossip.FlightReport{From: n.settings.ID, Flight: own}, now)
	report := gossip.FlightReport{From: n.settings.ID, Group: true, Flight: n.flights.Group(now)}
	n.mu.Unlock()
	work := pool.New().WithMaxGoroutines(feedWidth)
	for _, g := range groups {
		if g[0].ID <= n.settings.ID || g[0].Peer == "" {
			continue
		}
		work.Go(func() {
			if theirs, err := n.peers.Flights(g[0].Peer, report); err == nil {
				n.mu.Lock()
				n.flights.Take(theirs, time.Now())
				n.mu.Unlock()
			}
		})
	}
	work.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.TakeFlight(n.flights.All(time.Now()), own, time.Now())
}

// Flights answers a peer's report of what it has under way.
func (n *Node) Flights(in gossip.FlightReport) gossip.FlightReport {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.flights.Take(in, now)
	if in.Group {
		return gossip.FlightReport{From: n.settings.ID, Group: true, Flight: n.flights.Group(now)}
	}
	return gossip.FlightReport{From: n.settings.ID, Flight: n.flights.All(now)}
}
