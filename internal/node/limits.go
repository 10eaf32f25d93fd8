package node

import (
	"context"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/admission"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/membership"
)

const (
	limitService     = "Limit"
	summariseMethod  = limitService + ".Summarise"
	collectMethod    = limitService + ".Collect"
	exchangeInterval = 250 * time.Millisecond
	limitTimeout     = time.Second
)

// limits exchanges usage summaries and granted shares of the organisations' rate limits with
// the nodes that hold them, in large failure domains through a collector. A node that cannot
// reach a holder uses a conservative share, so that the limit holds over all nodes.
type limits struct {
	node *Node

	mu        sync.Mutex
	holder    *admission.RateHolder
	collector *admission.RateCollector
}

func newLimits(n *Node) *limits {
	s := admission.RateSettings{Self: n.settings.ID}
	return &limits{node: n, holder: admission.NewRateHolder(s), collector: admission.NewRateCollector(s)}
}

func (l *limits) setLimits(limits []admission.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.holder.SetLimits(limits, now)
	l.collector.SetLimits(limits, now)
}

func (l *limits) setNodes(ids []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.collector.SetNodes(ids)
}

func (l *limits) summarise(s admission.Summary) admission.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.HandleSummary(s, time.Now())
}

func (l *limits) collect(s admission.Summary) admission.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.collector.HandleSummary(s, time.Now())
}

// collectorSummaries returns the summaries that this node must send as a collector.
func (l *limits) collectorSummaries(now time.Time) []admission.Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.collector.Summaries(now)
}

func (l *limits) granted(g admission.Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.collector.ApplyGrant(g)
}

func (l *limits) run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.exchange(ctx, now)
		}
	}
}

func (l *limits) exchange(ctx context.Context, now time.Time) {
	for _, s := range l.node.gate.summaries(now) {
		method, answer := summariseMethod, l.summarise
		if s.Collect {
			method, answer = collectMethod, l.collect
		}
		l.dispatch(ctx, s, method, answer, l.node.gate.granted)
	}
	for _, s := range l.collectorSummaries(now) {
		l.dispatch(ctx, s, summariseMethod, l.summarise, l.granted)
	}
}

// dispatch has a summary answered at this node or by a peer and passes the grant to take.
func (l *limits) dispatch(ctx context.Context, s admission.Summary, method string, answer func(admission.Summary) admission.Grant, take func(admission.Grant)) {
	if s.To == l.node.settings.ID {
		take(answer(s))
		return
	}
	l.node.duties.Go(func() { l.send(ctx, s, method, take) })
}

func (l *limits) send(ctx context.Context, s admission.Summary, method string, take func(admission.Grant)) {
	addr := l.node.peerAddr(s.To)
	if addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limitTimeout)
	defer cancel()
	var grant admission.Grant
	if l.node.pool.Call(ctx, addr, method, &s, &grant) == nil {
		take(grant)
	}
}

// limitReceiver is the RPC receiver for the summaries of peers.
type limitReceiver struct{ limits *limits }

// Summarise answers a summary with the sender's shares. It never returns an error.
func (r *limitReceiver) Summarise(s *admission.Summary, grant *admission.Grant) error {
	*grant = r.limits.summarise(*s)
	return nil
}

// Collect answers the summary of a node in this failure domain with its part of the domain's
// shares. It never returns an error.
func (r *limitReceiver) Collect(s *admission.Summary, grant *admission.Grant) error {
	*grant = r.limits.collect(*s)
	return nil
}

// peerAddr returns the address at which peers reach a node, or "" if the node is unknown.
func (n *Node) peerAddr(id string) string {
	for _, m := range n.members.View().Entries {
		if m.ID == id {
			return m.Peer
		}
	}
	return ""
}

// liveEntries returns the IDs of all live entry nodes and of those in the failure domain.
func liveEntries(v *membership.View, failureDomain string) (all, inDomain []string) {
	for _, m := range v.Entries {
		if m.State != membership.Live {
			continue
		}
		all = append(all, m.ID)
		if m.FailureDomain == failureDomain {
			inDomain = append(inDomain, m.ID)
		}
	}
	return all, inDomain
}

// rateLimits returns the limits of all organisations that have one.
func rateLimits(s *config.Snapshot) []admission.Limit {
	var limits []admission.Limit
	for _, o := range s.Doc.Organisations {
		if o.RatePerSecond > 0 {
			limits = append(limits, admission.Limit{Org: o.Name, PerSecond: o.RatePerSecond})
		}
	}
	return limits
}
