package gateway

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
)

// followRollouts weighs the evidence on new versions and records verdicts.
func (n *Node) followRollouts(ctx context.Context) {
	next := map[string]time.Time{}
	for pause(ctx, tickEvery) {
		for _, d := range n.weigh(time.Now()) {
			n.follow(ctx, d, next)
		}
		n.announce(ctx, next)
	}
}

// follow acts on a decision; next is when a service's state may be written
// again after a failed try.
func (n *Node) follow(ctx context.Context, d canary.Decision, next map[string]time.Time) {
	attrs := []slog.Attr{
		slog.String("service", d.Order.Service), slog.String("target", d.Order.Target), slog.String("verdict", d.Verdict.String()),
		slog.Float64("likelihood", d.Likelihood), slog.String("route", d.Route),
		slog.Int64("answers", d.Answers), slog.Int64("new", d.Counts.New), slog.Int64("new_bad", d.Counts.NewBad),
		slog.Int64("old", d.Counts.Base), slog.Int64("old_bad", d.Counts.BaseBad), slog.Uint64("revision", d.Order.Revision),
	}
	if d.Widened {
		event.VersionWidened.Log(n.log, attrs...)
		n.tellSoon()
	}
	if d.Shift {
		event.VersionShifts.Log(n.log, attrs...)
		n.tellSoon()
		return
	}
	if d.Verdict == canary.Open {
		return
	}
	if d.Made {
		event.VersionDecided.Log(n.log, attrs...)
		n.tellSoon()
	}
	now := time.Now()
	again, tried := next[d.Order.Service]
	turn := n.turn(d.Order)
	if now.Before(again) || tried && n.tableAway() || !d.Made && now.Before(turn) {
		return
	}
	if !n.write(ctx, d.Order, d.Verdict) {
		next[d.Order.Service] = now.Add(mostRetryCall)
		return
	}
	delete(next, d.Order.Service)
}

// tableAway tells whether this node knows that the table can't be read by it and by who
// reads for it. A verdict that could not be written then waits until somebody can: tried
// again by each node each second, it was most of the calls of a table that is away.
func (n *Node) tableAway() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.list.awayAt.After(n.list.provenAt)
}

func (n *Node) weigh(now time.Time) []canary.Decision {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.canary.Forget(n.roster.Lives)
	return n.canary.Tick(now, canary.View{
		Count: func(service, version string) (int, int) { return n.fleet.Count(service, version, now) },
		Whole: n.leads(),
	})
}

// turn is when this node may write a verdict that another made: the nodes
// follow one after the other, in order of their IDs, until one has written.
//
// It guards against a table that turns away just the node that decided: the
// verdict would not be recorded while all others could.
func (n *Node) turn(o canary.Order) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := turnKey{o.Service, o.Revision}
	if n.heard[key].IsZero() {
		n.heard[key] = time.Now()
	}
	rank := slices.IndexFunc(n.roster.Alive(), func(m gossip.Member) bool { return m.ID == n.settings.ID })
	return n.heard[key].Add(time.Duration(rank+1) * turnStep)
}

// turnKey names a verdict on one order.
type turnKey struct {
	service  string
	revision uint64
}

// turnStep is the time between the turns of two nodes.
const turnStep = 100 * time.Millisecond

func (n *Node) write(ctx context.Context, o canary.Order, v canary.Verdict) bool {
	ctx, cancel := context.WithTimeout(withCause(ctx, CauseRollout), callTimeout)
	defer cancel()
	stands, err := n.source.Record(ctx, o, v)
	n.sourceResult("record", err)
	if err != nil {
		event.VersionUnrecorded.Log(n.log, slog.String("service", o.Service), slog.String("verdict", v.String()), slog.String("err", err.Error()))
		return false
	}
	event.VersionRecorded.Log(n.log, slog.String("service", o.Service), slog.String("target", o.Target),
		slog.String("verdict", stands.String()), slog.Uint64("revision", o.Revision))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.canary.Decide(o.Service, o.Revision, stands, true)
	n.announced[o.Service] = max(n.announced[o.Service], o.Revision)
	return true
}

// announce records that an order is under way.
func (n *Node) announce(ctx context.Context, next map[string]time.Time) {
	now := time.Now()
	var due []canary.Order
	n.mu.Lock()
	first := n.roster.Alive()[0].ID == n.settings.ID
	for _, o := range n.orders {
		if first && n.announced[o.Service] < o.Revision && n.canary.Open(o.Service) && !now.Before(next[o.Service]) {
			due = append(due, o.Order)
		}
	}
	n.mu.Unlock()
	for _, o := range due {
		if !n.write(ctx, o, canary.Open) {
			next[o.Service] = time.Now().Add(mostRetryCall)
		}
	}
}
