package gateway

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// flightsEvery is the pause between a node's reports of what it has under way.
const flightsEvery = 200 * time.Millisecond

// followFlights tells what this node has under way, and hears what all nodes have. Without
// an answer the upstreams' own load reports count.
func (n *Node) followFlights(ctx context.Context) {
	for pause(ctx, flightsEvery) {
		now := time.Now()
		n.mu.Lock()
		own := n.fleet.Flight()
		n.flights.Take(gossip.FlightReport{From: n.settings.ID, Flight: own}, now)
		role := n.roster.FlightRole()
		n.mu.Unlock()
		heard := true
		if role.To.ID == "" {
			n.exchangeFlights(role.Others)
		} else {
			heard = n.reportFlights(role)
		}
		if !heard {
			continue // the leader's loss is noticed by the usual news
		}
		n.mu.Lock()
		n.fleet.TakeFlight(n.flights.All(time.Now()), own, time.Now())
		n.mu.Unlock()
	}
}

// reportFlights reports to the leader of this node's group or domain; it returns whether
// that has answered.
func (n *Node) reportFlights(role gossip.FlightRole) bool {
	if role.To.Peer == "" {
		return false
	}
	n.mu.Lock()
	report := n.flights.Report(n.settings.ID, role, time.Now())
	n.mu.Unlock()
	all, err := n.peers.Flights(role.To.Peer, report)
	if err != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.flights.TakeRest(all.Flight, report.Flight, time.Now())
	return true
}

// exchangeFlights exchanges the sum over this failure domain with the first leaders of the
// others. Of two one calls, as both learn in an exchange what they need.
func (n *Node) exchangeFlights(others []gossip.Member) {
	n.mu.Lock()
	report := gossip.FlightReport{From: n.settings.ID, Domain: true, Flight: n.flights.Domain(time.Now())}
	n.mu.Unlock()
	work := pool.New().WithMaxGoroutines(feedWidth)
	for _, m := range others {
		if m.ID <= n.settings.ID || m.Peer == "" {
			continue
		}
		work.Go(func() {
			if theirs, err := n.peers.Flights(m.Peer, report); err == nil {
				n.mu.Lock()
				n.flights.Take(theirs, time.Now())
				n.mu.Unlock()
			}
		})
	}
	work.Wait()
}

// Flights answers a peer's report of what it has under way.
func (n *Node) Flights(in gossip.FlightReport) gossip.FlightReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.flights.Answer(in, n.settings.ID, time.Now())
}
