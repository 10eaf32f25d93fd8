package node

import (
	"context"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/admission"
)

const (
	limitService = "Limit"
	limitCall    = limitService + ".Summarise"
	limitTick    = 250 * time.Millisecond
	limitTimeout = time.Second
)

// limits exchanges summaries and shares of the organisations' rate limits with
// the nodes that hold them. A node that cannot reach a holder falls back to a
// conservative share, so that the limit holds over all nodes.
type limits struct {
	node *Node

	mu     sync.Mutex
	holder *admission.RateHolder
}

func newLimits(n *Node) *limits {
	return &limits{node: n, holder: admission.NewRateHolder(admission.RateSettings{Self: n.settings.ID})}
}

func (l *limits) setLimits(limits []admission.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.SetLimits(limits, time.Now())
}

func (l *limits) summarise(s admission.Summary) admission.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Summarise(s, time.Now())
}

func (l *limits) run(ctx context.Context) {
	ticker := time.NewTicker(limitTick)
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
		if s.To == l.node.settings.ID {
			l.node.gate.granted(l.summarise(s))
			continue
		}
		l.node.duties.Go(func() { l.send(ctx, s) })
	}
}

func (l *limits) send(ctx context.Context, s admission.Summary) {
	addr := l.node.peerAddr(s.To)
	if addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limitTimeout)
	defer cancel()
	var grant admission.Grant
	if l.node.pool.Call(ctx, addr, limitCall, &s, &grant) == nil {
		l.node.gate.granted(grant)
	}
}

// limitReceiver answers the summaries of peers.
type limitReceiver struct{ limits *limits }

// Summarise takes one summary and returns the sender's shares.
func (r *limitReceiver) Summarise(s *admission.Summary, grant *admission.Grant) error {
	*grant = r.limits.summarise(*s)
	return nil
}

// peerAddr is where a node's peers reach it, or empty.
func (n *Node) peerAddr(id string) string {
	for _, m := range n.members.View().Entries {
		if m.ID == id {
			return m.Peer
		}
	}
	return ""
}
