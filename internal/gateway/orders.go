package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
)

// takeOrdersChange takes what operators have changed; first is set when the
// whole was read, waited when the call waited for the change.
func (n *Node) takeOrdersChange(ctx context.Context, c OrdersChange, first, waited bool) {
	if first {
		n.recallRollouts(ctx, c.Rollouts)
	}
	n.mu.Lock()
	for _, r := range c.Unreadable {
		n.unreadable(r)
	}
	for _, o := range c.Rollouts {
		if !waited && !n.list.provenAt.IsZero() {
			o.Late = min(time.Since(n.list.provenAt), mostLate)
		}
		n.takeOrder(o, 0, fromTable)
	}
	n.mu.Unlock()
	if c.Config != nil {
		n.applyConfig(c.Config, fromTable)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.list.orders = max(n.list.orders, c.Revision)
}

// mostLate bounds how late an order is taken to have been learned of.
const mostLate = 3 * time.Second

// fromTable names the table as the source of news in logs.
const fromTable = "table"

// applyConfig puts a configuration in force if it is newer than the present
// one; versions only grow in the life of a process.
func (n *Node) applyConfig(raw []byte, from string) {
	began := time.Now()
	table, err := n.source.Decode(raw)
	n.metrics.Histogram("hickorybank_config_decode_seconds").UpdateDuration(began)
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
	event.TableApplied.Log(n.log, slog.Int64("version", table.Version), slog.String("from", from), slog.Int("bytes", len(raw)),
		slog.Duration("decoding", time.Since(began)))
}

// recallRollouts reads how far roll-outs had come before this process began.
func (n *Node) recallRollouts(ctx context.Context, orders []canary.Order) {
	if len(orders) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
				n.takeOrder(o, s.Age, fromTable)
				n.canary.Decide(o.Service, o.Revision, s.Verdict, true)
			}
		}
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
