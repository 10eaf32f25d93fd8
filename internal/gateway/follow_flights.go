package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// followFlights reports this node's in-flight requests and receives the sum over all nodes.
// Without an answer the upstreams' own load reports count.
func (n *Node) followFlights(ctx context.Context) {
	for pause(ctx, n.flightPeriod()) {
		now := time.Now()
		n.logSpeeds(now)
		period := n.flightPeriod()
		n.mu.Lock()
		own := n.fleet.Flight(now)
		report := gossip.FlightReport{From: n.settings.ID, Period: period, Flight: own}
		if report.Speeds, report.HasSpeeds = n.fleet.Speeds(n.speeds.Relays(n.settings.ID), now); report.HasSpeeds {
			n.ownSpeeds = report.Speeds
		}
		n.flights.Record(report, now)
		n.speeds.Record(report, now)
		role := n.roster.FlightRole()
		n.mu.Unlock()
		ok := true
		if role.To.ID == "" {
			n.exchangeFlights(role.Others, period, report.HasSpeeds)
		} else {
			ok = n.reportFlights(role, period, report.HasSpeeds)
		}
		if !ok {
			continue // gossip detects the loss of the leader
		}
		n.mu.Lock()
		n.fleet.ApplyFlight(n.flights.All(time.Now()), own, time.Now())
		if report.HasSpeeds {
			n.fleet.ApplySpeeds(n.speeds.All(time.Now()), n.ownSpeeds, time.Now())
		}
		n.mu.Unlock()
	}
}

// flightPeriod returns the time between this node's reports of its in-flight requests.
func (n *Node) flightPeriod() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fleet.FlightPeriod(time.Now())
}

// reportFlights reports to the leader of this node's group or failure domain; it reports
// whether the leader has answered.
func (n *Node) reportFlights(role gossip.FlightRole, period time.Duration, withSpeeds bool) bool {
	if role.To.Peer == "" {
		return false
	}
	n.mu.Lock()
	report := n.flights.Report(n.settings.ID, role, period, time.Now())
	if withSpeeds {
		report.Speeds, report.HasSpeeds = n.speeds.Group(time.Now()), true
	}
	n.mu.Unlock()
	all, err := n.gossipClient.Flights(role.To.Peer, report)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.notePeerFailure(role.To, err) // no process listens there
		}
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.flights.RecordRest(all.Flight, report, time.Now())
	n.speeds.RecordRest(all, report, time.Now())
	return true
}

// exchangeFlights exchanges the sum over this failure domain with the first leaders of the
// others. Only one of two leaders calls, as one exchange informs both.
func (n *Node) exchangeFlights(others []gossip.Member, period time.Duration, withSpeeds bool) {
	n.mu.Lock()
	report := gossip.FlightReport{From: n.settings.ID, Domain: true, Period: period, Flight: n.flights.Domain(time.Now())}
	n.speeds.ForgetRest()
	if withSpeeds {
		report.Speeds, report.HasSpeeds = n.speeds.Domain(time.Now()), true
	}
	n.mu.Unlock()
	work := pool.New().WithMaxGoroutines(maxParallelExchanges)
	for _, m := range others {
		if m.ID <= n.settings.ID || m.Peer == "" {
			continue
		}
		work.Go(func() {
			if reply, err := n.gossipClient.Flights(m.Peer, report); err == nil {
				n.mu.Lock()
				n.flights.Record(reply, time.Now())
				n.speeds.Record(reply, time.Now())
				n.mu.Unlock()
			}
		})
	}
	work.Wait()
}

// Flights answers a peer's report of its in-flight requests. It is a method of the gossip
// service.
func (n *Node) Flights(in gossip.FlightReport) gossip.FlightReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	out := n.flights.Answer(in, n.settings.ID, now)
	out.Speeds, out.HasSpeeds = n.speeds.Answer(in, now)
	return out
}
