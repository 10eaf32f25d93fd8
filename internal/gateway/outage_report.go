package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
)

// pushOutage notifies the nodes that depend on this one that it cannot read the table, at once
// and then once per read interval. Otherwise they would assume that it has failed, and all read
// the table in turn. While other nodes can read, these inform them.
func (n *Node) pushOutage(ctx context.Context, failures int) {
	now := time.Now()
	n.mu.Lock()
	if failures == 1 {
		n.view.failingSince = now
	}
	othersRead := n.view.listAsOf.After(n.view.failingSince) && now.Sub(n.view.listAsOf) < 2*n.readInterval()
	renew := now.Sub(n.view.outagePushedAt) >= n.readInterval()-maxReaderRetryDelay && !othersRead
	push := n.leadsGroup() && (failures == 1 || renew)
	n.view.readFailedAt = now
	if push {
		n.view.outagePushedAt = now
	}
	n.mu.Unlock()
	if push {
		n.pushReading(ctx, CauseReader, n.readingAudience())
	}
}

// mergeOutage records that this node's reader or leader can't read the table, which a
// leader passes on; the caller holds mu.
func (n *Node) mergeOutage(in gossip.Message, now time.Time) {
	if in.Proof.Away <= 0 || !n.receivesTableFrom(in.From) {
		return
	}
	first := !n.view.outageAt.After(n.view.listAsOf)
	failedAt := now.Add(-in.Proof.Away)
	renewed := failedAt.Sub(n.view.outageAt) >= firstRetryDelay
	n.view.outageAt = later(n.view.outageAt, failedAt)
	if !n.view.outageAt.After(n.view.listAsOf) {
		return
	}
	if renewed && !first {
		n.noteRemoteReading(in)
	}
	if first {
		n.view.outageSince = now
		event.OutageReported.Log(n.log, slog.String("from", in.From), slog.Int64("away_ms", in.Proof.Away.Milliseconds()), ordersAgeAttr(n.view.ordersAsOf, now))
		wake(n.readingDue)
		n.noteRemoteReading(in)
	}
}
