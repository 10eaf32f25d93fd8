package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
)

// followPeers exchanges news with a few peers in turn.
func (n *Node) followPeers(ctx context.Context) {
	joined := false
	var tried time.Time
	for ctx.Err() == nil {
		n.mu.Lock()
		n.roster.Beat(n.list.revision > 0 && n.config.Load() != nil && !n.stopping.Load(), n.stopping.Load())
		n.mu.Unlock()
		if !joined && time.Since(tried) >= mostRetryCall {
			tried = time.Now()
			joined = n.join(ctx)
		}
		n.exchangeWith(ctx, n.pickPeers(gossipWidth))
		if !pause(ctx, gossipEvery) {
			return
		}
	}
}

// join records this node and learns of others.
func (n *Node) join(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callSlack)
	defer cancel()
	n.mu.Lock()
	self := n.roster.Self()
	n.mu.Unlock()
	members, err := n.source.Join(ctx, self)
	n.sourceResult("join", err)
	if err != nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recorded = members
	return true
}

// pickPeers chooses some peers at random; one that is not known to live is
// tried now and then, as it may be back.
func (n *Node) pickPeers(count int) []gossip.Member {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	live := n.roster.Others(now)
	rand.Shuffle(len(live), func(i, k int) { live[i], live[k] = live[k], live[i] })
	picked := live[:min(len(live), count)]
	if len(live) >= count && rand.IntN(strangerOdds) > 0 {
		return picked
	}
	if stranger, ok := n.stranger(now); ok {
		picked = append(picked, stranger)
	}
	return picked
}

// strangerOdds is how many rounds pass, on average, between two calls of a
// peer that is not known to live.
const strangerOdds = 8

// stranger picks a seed or a recorded member that is not known to live.
func (n *Node) stranger(now time.Time) (gossip.Member, bool) {
	var all []gossip.Member
	for _, addr := range n.settings.Seeds {
		all = append(all, gossip.Member{Peer: addr})
	}
	all = append(all, n.recorded...)
	all = append(all, n.roster.Known(now)[1:]...)
	live := map[string]bool{n.settings.Peer: true}
	for _, m := range n.roster.Alive(now) {
		live[m.Peer] = true
	}
	var unknown []gossip.Member
	for _, m := range all {
		if m.Peer != "" && !live[m.Peer] {
			unknown = append(unknown, m)
		}
	}
	if len(unknown) == 0 {
		return gossip.Member{}, false
	}
	return unknown[rand.IntN(len(unknown))], true
}

// exchangeAll tells all peers at once, where news can't wait.
func (n *Node) exchangeAll(ctx context.Context) { n.exchangeWith(ctx, n.pickPeers(urgentWidth)) }

// urgentWidth bounds the peers told at once; they tell the others.
const urgentWidth = 12

func (n *Node) exchangeWith(ctx context.Context, peers []gossip.Member) {
	var wait sync.WaitGroup
	for _, m := range peers {
		wait.Go(func() { n.exchange(ctx, m) })
	}
	wait.Wait()
}

func (n *Node) exchange(ctx context.Context, m gossip.Member) {
	if ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	known := n.peerConfig[m.ID]
	out := n.message(known)
	n.mu.Unlock()
	in, err := n.peers.Exchange(m.Peer, out)
	if err != nil {
		n.peerLost(m, err)
		return
	}
	n.take(in)
}

func (n *Node) peerLost(m gossip.Member, err error) {
	if m.ID == "" {
		return
	}
	now := time.Now()
	n.mu.Lock()
	lived := n.roster.Lives(m.ID, m.Born, now)
	n.roster.Unreached(m.ID, now)
	n.mu.Unlock()
	if lived {
		event.PeerLost.Log(n.log, slog.String("peer", m.ID), slog.String("addr", m.Peer), slog.String("err", err.Error()))
	}
}

// Exchange answers a peer's message.
func (n *Node) Exchange(in gossip.Message) gossip.Message {
	n.take(in)
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.message(in.ConfigVersion)
	if in.WantFleet {
		n.tellFleet(&out)
	}
	return out
}

// message is what this node tells a peer that is known to have a version of
// the configuration; the caller holds mu.
func (n *Node) message(peerConfig int64) gossip.Message {
	now := time.Now()
	m := gossip.Message{
		From: n.settings.ID, Members: n.roster.Known(now),
		Tallies: n.canary.Known(), Strikes: n.guard.Known(now),
	}
	if c := n.config.Load(); c != nil {
		m.ConfigVersion = c.Version
		if peerConfig < c.Version {
			m.Config = c.raw
		}
	}
	for _, o := range n.orders {
		o.Age = now.Sub(n.started[o.Service])
		m.Orders = append(m.Orders, o)
	}
	m.WantFleet = n.sources.down || n.list.revision == 0
	return m
}

func (n *Node) tellFleet(m *gossip.Message) {
	if n.list.revision == 0 {
		return
	}
	m.Fleet = n.fleet.Records()
	m.FleetRevision = n.list.revision
	m.FleetAge = time.Since(n.list.readAt)
}

// take takes what a peer tells.
func (n *Node) take(in gossip.Message) {
	now := time.Now()
	if len(in.Config) > 0 {
		n.applyConfig(in.Config, in.From)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peerConfig[in.From] = in.ConfigVersion
	for _, m := range n.roster.Merge(in.Members, now) {
		event.PeerChanged.Log(n.log, slog.String("peer", m.ID), slog.String("from", in.From),
			slog.Bool("ready", m.Ready), slog.Bool("leaving", m.Leaving), slog.Duration("age", m.Age))
	}
	n.fleet.SetNodes(len(n.roster.Alive(now)))
	for _, o := range in.Orders {
		n.takeOrder(o.Order, o.Age, in.From)
	}
	for _, t := range in.Tallies {
		if n.canary.Merge(t) {
			event.VersionDecided.Log(n.log, slog.String("service", t.Service), slog.String("verdict", t.Verdict.String()),
				slog.Uint64("revision", t.Revision), slog.String("from", in.From))
		}
	}
	for _, s := range in.Strikes {
		n.guard.Add(s, now)
	}
	n.takeFleet(in)
}

// takeFleet takes a peer's list of upstreams where this node can't read the
// table.
func (n *Node) takeFleet(in gossip.Message) {
	if in.FleetRevision <= n.list.revision || !n.sources.down && n.list.revision > 0 {
		return
	}
	n.list.revision = in.FleetRevision
	n.list.readAt = time.Now().Add(-in.FleetAge)
	listed := map[string]bool{}
	for _, r := range in.Fleet {
		listed[r.ID] = true
		n.putUpstream(r)
	}
	for _, r := range n.fleet.Records() {
		if !listed[r.ID] {
			n.dropUpstream(r.ID)
		}
	}
}
