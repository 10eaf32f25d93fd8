package gateway

import (
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
)

// tableAge returns the age of the applied reading of the list in seconds; 0 before the
// first one.
func (n *Node) tableAge() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view.listAsOf.IsZero() {
		return 0
	}
	return time.Since(n.view.listAsOf).Seconds()
}

// ordersAge returns the age of this node's knowledge of operator orders in seconds; 0 before
// the first.
func (n *Node) ordersAge() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view.ordersAsOf.IsZero() {
		return 0
	}
	return time.Since(n.view.ordersAsOf).Seconds()
}

// timeToReading returns the seconds until this node reads the table itself unless it receives
// another node's reading before; 0 if a reading is due.
func (n *Node) timeToReading() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(time.Until(n.view.readingDueAt).Seconds(), 0)
}

// configKnowledge returns how old this node's knowledge of operator orders is and the newest
// version of the configuration that any peer has.
func (n *Node) configKnowledge() []slog.Attr {
	n.mu.Lock()
	defer n.mu.Unlock()
	return []slog.Attr{
		ordersAgeAttr(n.view.ordersAsOf, time.Now()),
		slog.Int64("heard", max(n.newestPeerVersion.Load(), n.configVersion())),
	}
}

// unknownAge is the logged age of what a node does not know.
const unknownAge = -1

// ordersAgeAttr returns the age of the knowledge of operator orders as an attribute of log lines.
func ordersAgeAttr(asOf, now time.Time) slog.Attr {
	if asOf.IsZero() {
		return slog.Int64("orders_age_ms", unknownAge)
	}
	return slog.Int64("orders_age_ms", now.Sub(asOf).Milliseconds())
}

// logReaderMissed logs that this node reads the table because its reader's messages are missing.
func (n *Node) logReaderMissed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	p := n.readingPlan(0)
	event.ReaderMissed.Log(n.log, slog.String("reader", n.roster.Reader().ID), slog.Int("place", p.place), slog.Bool("outage", p.outage),
		slog.Int64("list_age_ms", now.Sub(n.view.listAsOf).Milliseconds()), ordersAgeAttr(n.view.ordersAsOf, now))
}

// logReadingPutOff logs the pause after failed readings if it exceeds the read interval.
func (n *Node) logReadingPutOff(failures int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	p := n.readingPlan(failures)
	wait := p.due().Sub(now)
	if wait <= p.interval {
		return
	}
	event.ReadingPutOff.Log(n.log, slog.Int64("wait_ms", wait.Milliseconds()), slog.Int("failures", failures), slog.Int("place", p.place),
		slog.Bool("outage", p.outage), slog.Bool("reader", p.readsTable), ordersAgeAttr(n.view.ordersAsOf, now))
}

// actingAsReader reports whether this node reads for others because its reader's messages
// stopped.
func (n *Node) actingAsReader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.actsAsReader()
}
