package gateway

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
)

// followOrders keeps up with what operators change.
func (n *Node) followOrders(ctx context.Context) {
	var after uint64
	failures := 0
	for ctx.Err() == nil {
		change, err := n.fetchOrders(ctx, after)
		if ctx.Err() != nil {
			return
		}
		n.sourceResult("orders", err)
		if err != nil {
			if errors.Is(err, ErrCompacted) {
				after = 0
			}
			failures++
			if !pause(ctx, min(retryCall<<min(failures-1, 4), mostRetryCall)) {
				return
			}
			continue
		}
		failures = 0
		if after == 0 {
			n.recallRollouts(ctx, change.Rollouts)
		}
		n.takeOrders(change.Rollouts)
		if change.Config != nil {
			n.applyConfig(change.Config, "table")
		}
		after = change.Revision
	}
}

func (n *Node) fetchOrders(ctx context.Context, after uint64) (OrdersChange, error) {
	ctx, cancel := context.WithTimeout(ctx, ordersWait+callSlack)
	defer cancel()
	return n.source.Orders(ctx, after, ordersWait)
}

// applyConfig puts a configuration in force if it is newer than the present
// one; versions only grow in the life of a process.
func (n *Node) applyConfig(raw []byte, from string) {
	table, err := n.source.Decode(raw)
	if err != nil {
		event.TableRejected.Log(n.log, slog.String("from", from), slog.String("err", err.Error()))
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.config.Load()
	if old != nil && old.Version >= table.Version {
		return
	}
	n.config.Store(&configuration{Table: table, raw: raw, at: time.Now()})
	event.TableApplied.Log(n.log, slog.Int64("version", table.Version), slog.String("from", from), slog.Int("bytes", len(raw)))
}

// recallRollouts reads how far roll-outs had come before this process began.
func (n *Node) recallRollouts(ctx context.Context, orders []canary.Order) {
	if len(orders) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	states, err := n.source.Rollouts(ctx)
	n.sourceResult("rollouts", err)
	if err != nil {
		return // the orders then count as new: the watch begins again
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range orders {
		for _, s := range states {
			if s.Order.Service == o.Service && s.Order.Revision == o.Revision {
				n.takeOrder(o, s.Age, "table")
				n.canary.Decide(o.Service, o.Revision, s.Verdict, true)
			}
		}
	}
}

func (n *Node) takeOrders(orders []canary.Order) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range orders {
		n.takeOrder(o, 0, "table")
	}
}

// takeOrder takes a roll-out that has been under way for a time; the caller
// holds mu.
func (n *Node) takeOrder(o canary.Order, age time.Duration, from string) {
	started := time.Now().Add(-age)
	if !n.canary.Take(o, started) {
		return
	}
	kept := n.orders[:0]
	for _, known := range n.orders {
		if known.Service != o.Service {
			kept = append(kept, known)
		}
	}
	n.orders = append(kept, gossip.Order{Order: o})
	n.started[o.Service] = started
	event.VersionOrdered.Log(n.log, slog.String("service", o.Service), slog.String("target", o.Target),
		slog.Duration("limit", o.Limit), slog.Uint64("revision", o.Revision), slog.Duration("age", age), slog.String("from", from))
}
