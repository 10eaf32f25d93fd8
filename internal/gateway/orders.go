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
	n.takeEvacuations(c.Evacuations, fromTable)
	if c.Whole {
		n.endOtherEvacuations(c)
	}
	for _, o := range c.Rollouts {
		if proven := n.list.ordersProvenAt; !waited && !proven.IsZero() {
			o.Late = min(time.Since(proven), mostLate)
		}
		n.takeOrder(o, 0, fromTable)
	}
	n.mu.Unlock()
	if c.Config != nil {
		n.applyConfig(c.Config)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.list.orders = max(n.list.orders, c.Revision)
}

// mostLate bounds how late an order is taken to have been learned of.
const mostLate = 3 * time.Second

// fromTable names the table as the source of news in logs.
const fromTable = "table"

// applyConfig puts a configuration that the table holds in force, if it is newer than
// the present one.
func (n *Node) applyConfig(raw []byte) {
	n.applying <- struct{}{}
	defer func() { <-n.applying }()
	doc, err := archive.Compact(raw)
	if err == nil {
		err = n.enforce(doc, fromTable, func(old *archive.Archive, version uint64) *archive.Archive {
			return old.Replace(version, doc)
		})
	}
	if err != nil {
		n.rejected(fromTable, err)
	}
}

// taken is what became of an update that a peer sent.
type taken int

const (
	// applied updates are in force, or something newer is.
	applied taken = iota
	// unfit ones are damaged, or lead from another document.
	unfit
	// refused ones lead to a document that this node can't read.
	refused
)

// applyUpdate puts what a peer sent in force, if it is newer.
func (n *Node) applyUpdate(r *transfer.Receiver, from string) (taken, error) {
	n.applying <- struct{}{}
	defer func() { <-n.applying }()
	if n.document().Tag() != r.Known() {
		return applied, nil // the table was faster
	}
	next, err := r.Update(n.document())
	if err != nil {
		return unfit, err
	}
	err = n.enforce(next.Raw(), from, func(*archive.Archive, uint64) *archive.Archive { return next })
	if err != nil {
		n.rejected(from, err)
		return refused, err
	}
	return applied, nil
}

// document is the configuration in force as it is told to peers; nil for none.
func (n *Node) document() *archive.Archive {
	if c := n.config.Load(); c != nil {
		return c.doc
	}
	return nil
}

// table is the table in force; nil for none.
func (n *Node) table() *route.Table {
	if c := n.config.Load(); c != nil {
		return c.Table
	}
	return nil
}

// enforce reads a document and puts it in force; versions only grow in the life of a
// process. archived makes what peers are told of it. The caller has a
// place in applying, and no lock: requests go on under the former table while this
// one is read.
func (n *Node) enforce(doc []byte, from string, archived func(old *archive.Archive, version uint64) *archive.Archive) error {
	began := time.Now()
	table, err := n.source.Decode(doc, n.table())
	n.metrics.Histogram("hickorybank_config_decode_seconds").UpdateDuration(began)
	if err != nil {
		return err
	}
	if table.Version <= n.configVersion() {
		return nil
	}
	next := archived(n.document(), uint64(table.Version))
	if next.Tag() != uint64(table.Version) {
		return eris.Errorf("configuration: version %d came as %d", table.Version, next.Tag())
	}
	n.config.Store(&configuration{Table: table, doc: next})
	n.sender.Set(next)
	event.TableApplied.Log(n.log, slog.Int64("version", table.Version), slog.String("from", from), slog.Int("bytes", len(doc)),
		slog.Duration("decoding", time.Since(began)))
	for _, field := range table.Unsound {
		event.TableUnsound.Log(n.log, slog.Int64("version", table.Version), slog.String("field", field))
	}
	n.noteConfig()
	return nil
}

// rejected notes a configuration that can't be used; the one in force stays.
func (n *Node) rejected(from string, err error) {
	n.metrics.Counter("hickorybank_config_rejected_total").Inc()
	event.TableRejected.Log(n.log, slog.String("from", from), slog.String("err", err.Error()))
}

// noteConfig takes what waited for a configuration that is now in force, and has the
// other nodes told at once, if this node reads the table for its group.
func (n *Node) noteConfig() {
	n.mu.Lock()
	n.setWarmUps()
	n.useOrdersProof()
	leads := n.leads()
	n.mu.Unlock()
	if leads {
		n.tellSoon()
	}
}

// recallRollouts reads how far roll-outs had come before this process began.
func (n *Node) recallRollouts(ctx context.Context, orders []canary.Order) {
	if len(orders) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(withCause(ctx, CauseRollout), callTimeout)
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
