package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/route"
	"github.com/hickorybank/hickorybank/internal/transfer"
)

// applyOrdersChange applies operator orders from the table. first is set for a reading of
// all orders, waited if the call waited for the change.
func (n *Node) applyOrdersChange(ctx context.Context, c OrdersChange, first, waited bool) {
	if first {
		n.restoreRollouts(ctx, c.Rollouts)
	}
	n.mu.Lock()
	n.noteUnreadable(c.Unreadable)
	restoring := n.isRestoring(time.Now())
	n.applyEvacuations(n.withoutOutdated(c.Evacuations, restoring), fromTable)
	if c.Complete && !restoring {
		n.endMissingEvacuations(c)
	}
	for _, o := range c.Rollouts {
		if restoring && n.replacesRollout(o) {
			continue // the copy may hold an earlier order; the reading after the restore decides
		}
		if asOf := n.view.ordersAsOf; !waited && !asOf.IsZero() {
			o.Late = min(time.Since(asOf), maxOrderDelay)
		}
		n.applyRollout(o, 0, fromTable)
	}
	n.mu.Unlock()
	if c.Config != nil {
		n.applyConfig(c.Config)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.ordersRevision = max(n.view.ordersRevision, c.Revision)
}

// maxOrderDelay bounds the delay with which an order is assumed to have become known.
const maxOrderDelay = 3 * time.Second

// fromTable names the table as a source in logs.
const fromTable = "table"

// applyConfig activates a configuration from the table if it is newer than the active one.
func (n *Node) applyConfig(raw []byte) {
	n.applying <- struct{}{}
	defer func() { <-n.applying }()
	doc, err := archive.Compact(raw)
	if err == nil {
		err = n.activate(doc, fromTable, func(old *archive.Archive, version uint64) *archive.Archive {
			return old.Replace(version, doc)
		})
	}
	if err != nil {
		n.noteRejectedConfig(fromTable, err)
	}
}

// updateResult is the result of an update from a peer.
type updateResult int

const (
	// updateApplied means that the update or something newer is active.
	updateApplied updateResult = iota
	// updateUnusable means that the update is damaged or starts from another configuration.
	updateUnusable
	// updateRejected means that the update leads to a configuration that this node can't
	// read.
	updateRejected
)

// applyUpdate activates an update from a peer if it is newer.
func (n *Node) applyUpdate(r *transfer.Receiver, from string) (updateResult, error) {
	n.applying <- struct{}{}
	defer func() { <-n.applying }()
	if n.currentArchive().Tag() != r.Known() {
		return updateApplied, nil // the table was faster than the peer
	}
	next, err := r.Update(n.currentArchive())
	if err != nil {
		return updateUnusable, err
	}
	err = n.activate(next.Raw(), from, func(*archive.Archive, uint64) *archive.Archive { return next })
	if err != nil {
		n.noteRejectedConfig(from, err)
		return updateRejected, err
	}
	return updateApplied, nil
}

// currentArchive returns the active configuration in the form sent to peers; nil for none.
func (n *Node) currentArchive() *archive.Archive {
	if c := n.config.Load(); c != nil {
		return c.archive
	}
	return nil
}

// routingTable returns the active routing table; nil for none.
func (n *Node) routingTable() *route.Table {
	if c := n.config.Load(); c != nil {
		return c.Table
	}
	return nil
}

// activate decodes a configuration and activates it if its version is newer. newArchive
// builds the form that is sent to peers. The caller holds the place in applying and not mu:
// requests continue under the former routing table while this one is decoded.
func (n *Node) activate(doc []byte, from string, newArchive func(old *archive.Archive, version uint64) *archive.Archive) error {
	began := time.Now()
	table, err := n.source.Decode(doc, n.routingTable())
	n.metrics.Histogram("hickorybank_config_decode_seconds").UpdateDuration(began)
	if err != nil {
		return err
	}
	if table.Version <= n.configVersion() {
		return nil
	}
	next := newArchive(n.currentArchive(), uint64(table.Version))
	if next.Tag() != uint64(table.Version) {
		return eris.Errorf("configuration: version is %d, archive has version %d", table.Version, next.Tag())
	}
	if n.config.Swap(&configuration{Table: table, archive: next}) == nil {
		n.logCrashesAtStart(from)
	}
	n.configSender.Set(next)
	event.TableApplied.Log(n.log, slog.Int64("version", table.Version), slog.String("from", from), slog.Int("bytes", len(doc)),
		slog.Duration("decoding", time.Since(began)))
	for _, field := range table.Unsound {
		event.ConfigFieldInvalid.Log(n.log, slog.Int64("version", table.Version), slog.String("field", field))
	}
	n.configActivated(from == fromTable)
	return nil
}

// noteRejectedConfig counts and logs an unusable configuration; the active one stays.
func (n *Node) noteRejectedConfig(from string, err error) {
	n.metrics.Counter("hickorybank_config_rejected_total").Inc()
	event.TableRejected.Log(n.log, slog.String("from", from), slog.String("err", boundedText(err)))
}

// configActivated applies what waited for the new configuration. On the leader of a group
// it requests a push to the other nodes, unless the node has just started: each of many that
// start together takes itself for a leader, and what it has received from a peer others
// receive as well.
func (n *Node) configActivated(readHere bool) {
	n.mu.Lock()
	n.setWarmUps()
	n.applyPendingProofs()
	push := n.leadsGroup() && (readHere || time.Since(n.startedAt) >= leaderSettleTime)
	n.mu.Unlock()
	if push {
		n.requestPush()
	}
}

// restoreRollouts restores the progress that rollouts had made before this process started.
func (n *Node) restoreRollouts(ctx context.Context, orders []canary.Order) {
	if len(orders) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(withCause(ctx, CauseRollout), tableCallTimeout)
	defer cancel()
	states, err := n.source.Rollouts(ctx)
	n.sourceResult("rollouts", err)
	if err != nil {
		return // the orders then count as new, and their observation starts over
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range orders {
		for _, s := range states {
			if s.Order.Service == o.Service && s.Order.Revision == o.Revision {
				n.applyRollout(o, s.Age, fromTable)
				n.applyOutcome(gossip.Order{Order: o, Outcome: canary.Outcome{Verdict: s.Verdict, Written: s.Verdict != canary.Open}}, fromTable)
			}
		}
	}
}

// applyRollout starts a rollout that has been under way for age; the caller holds mu.
func (n *Node) applyRollout(o canary.Order, age time.Duration, from string) {
	started := time.Now().Add(-age)
	if n.renewRollout(o) || !n.canary.AddOrder(o, started) {
		return
	}
	if len(n.rollouts) == 0 {
		close(n.rolloutOrdered)
	}
	kept := n.rollouts[:0]
	for _, known := range n.rollouts {
		if known.Service != o.Service {
			kept = append(kept, known)
		}
	}
	n.rollouts = append(kept, gossip.Order{Order: o})
	n.rolloutStartedAt[o.Service] = started
	if age >= o.Limit {
		n.canary.AwaitVerdict(o.Service)
	}
	event.VersionOrdered.Log(n.log, slog.String("service", o.Service), slog.String("target", o.Target),
		slog.Duration("limit", o.Limit), revisionAttr(o.Revision), slog.Duration("age", age), slog.String("from", from))
}

// applyOutcome applies a peer's outcome of an order; the caller holds mu.
func (n *Node) applyOutcome(o gossip.Order, from string) {
	if n.canary.ApplyOutcome(o.Service, o.Revision, o.Outcome) {
		event.VersionDecided.Log(n.log, slog.String("service", o.Service), slog.String("target", o.Target),
			slog.String("verdict", o.Outcome.Verdict.String()), revisionAttr(o.Revision), slog.String("from", from))
	}
}
