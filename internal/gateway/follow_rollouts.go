package gateway

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/revision"
)

// followRollouts evaluates new versions, records the verdicts and announces new rollouts.
func (n *Node) followRollouts(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-n.rolloutOrdered:
	}
	retryAt := map[string]time.Time{}
	for pause(ctx, n.rolloutTick()) {
		for _, d := range n.evaluateRollouts(time.Now()) {
			n.applyDecision(ctx, d, retryAt)
		}
		n.announceRollouts(ctx, retryAt)
	}
}

// rolloutTick returns the pause until the next evaluation of rollouts.
func (n *Node) rolloutTick() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.canary.Soaking() {
		return soakTickInterval
	}
	return rolloutTickInterval
}

// applyDecision acts on a decision about a rollout. retryAt is when a service's state may
// be written again after a failed write, by service.
func (n *Node) applyDecision(ctx context.Context, d canary.Decision, retryAt map[string]time.Time) {
	attrs := []slog.Attr{
		slog.String("service", d.Order.Service), slog.String("target", d.Order.Target), slog.String("verdict", d.Verdict.String()),
		slog.Float64("likelihood", d.Likelihood), slog.String("evidence", d.Evidence), slog.String("route", d.Route),
		slog.Float64("as_quick", d.AsQuick), slog.Bool("doubt", d.Doubt), slog.Int64("answers", d.Answers), slog.Int64("new", d.Counts.New), slog.Int64("new_bad", d.Counts.NewBad),
		slog.Int64("old", d.Counts.Base), slog.Int64("old_bad", d.Counts.BaseBad), revisionAttr(d.Order.Revision),
	}
	if d.Widened {
		event.VersionWidened.Log(n.log, attrs...)
		n.requestPush()
	}
	if d.Shift {
		event.VersionShifts.Log(n.log, attrs...)
		n.requestPush()
		return
	}
	if d.Verdict == canary.Open {
		return
	}
	if d.Reached {
		event.VersionDecided.Log(n.log, attrs...)
		n.requestPush()
	}
	now := time.Now()
	retry, tried := retryAt[d.Order.Service]
	turn := n.verdictTurn(d.Order)
	if now.Before(retry) || tried && n.tableUnavailable() || !d.Reached && now.Before(turn) {
		return
	}
	if d.Proposed {
		event.VersionProposed.Log(n.log, attrs...)
	}
	if !n.recordVerdict(ctx, d.Order, d.Verdict) {
		retryAt[d.Order.Service] = now.Add(maxRetryDelay)
		return
	}
	delete(retryAt, d.Order.Service)
}

// tableUnavailable reports whether neither this node nor its reader can read the table. A
// verdict whose first write failed then waits for the next reading by any node. Retried by
// each node each second, such writes were most of the calls of an unavailable table.
func (n *Node) tableUnavailable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.unavailable()
}

// evaluateRollouts returns what the evidence on new versions decides now.
func (n *Node) evaluateRollouts(now time.Time) []canary.Decision {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.canary.ClearInFlight(n.roster.IsAlive)
	return n.canary.Tick(now, canary.View{
		Count:    func(service, version string) (int, int) { return n.fleet.Count(service, version, now) },
		Versions: n.fleet.Versions,
		Plain:    n.config.Load().isPlain,
		Complete: n.leadsGroup(),
	})
}

// verdictTurn returns when this node may write a verdict that another node made. The nodes
// take turns in the order of their IDs until one has written it.
//
// Turns are needed when the table refuses only the node that decided: without them the
// verdict would not be recorded although all other nodes could record it.
func (n *Node) verdictTurn(o canary.Order) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := verdictKey{o.Service, o.Revision}
	if n.verdictSeenAt[key].IsZero() {
		n.verdictSeenAt[key] = time.Now()
	}
	rank := slices.IndexFunc(n.roster.Alive(), func(m gossip.Member) bool { return m.ID == n.settings.ID })
	return n.verdictSeenAt[key].Add(time.Duration(rank+1) * verdictTurnStep)
}

// verdictKey identifies the verdict on one rollout order.
type verdictKey struct {
	service  string
	revision revision.Revision
}

// verdictTurnStep is the time between the turns of two nodes.
const verdictTurnStep = 100 * time.Millisecond

// recordVerdict writes a rollout's state to the table and applies the state that then
// stands; it reports whether the write succeeded.
func (n *Node) recordVerdict(ctx context.Context, o canary.Order, v canary.Verdict) bool {
	ctx, cancel := context.WithTimeout(withCause(ctx, CauseRollout), tableCallTimeout)
	defer cancel()
	recorded, err := n.source.Record(ctx, o, v)
	n.sourceResult("record", err)
	if err != nil {
		event.VersionUnrecorded.Log(n.log, slog.String("service", o.Service), slog.String("verdict", v.String()), slog.String("err", err.Error()))
		return false
	}
	event.VersionRecorded.Log(n.log, slog.String("service", o.Service), slog.String("target", o.Target),
		slog.String("verdict", recorded.String()), revisionAttr(o.Revision))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.canary.ApplyVerdict(o.Service, o.Revision, recorded, true)
	n.announcedRevision[o.Service] = max(n.announcedRevision[o.Service], o.Revision)
	return true
}

// announceRollouts records new rollouts as under way; only the first node of the roster
// does so.
func (n *Node) announceRollouts(ctx context.Context, retryAt map[string]time.Time) {
	now := time.Now()
	var due []canary.Order
	n.mu.Lock()
	first := n.roster.Alive()[0].ID == n.settings.ID
	for _, o := range n.rollouts {
		if first && n.announcedRevision[o.Service] < o.Revision && n.canary.Open(o.Service) && !now.Before(retryAt[o.Service]) {
			due = append(due, o.Order)
		}
	}
	n.mu.Unlock()
	for _, o := range due {
		if !n.recordVerdict(ctx, o, canary.Open) {
			retryAt[o.Service] = time.Now().Add(maxRetryDelay)
		}
	}
}
