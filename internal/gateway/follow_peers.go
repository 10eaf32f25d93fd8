package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
)

// followPeers meets the deployment and then exchanges news with a peer at a
// time.
func (n *Node) followPeers(ctx context.Context) {
	n.meet(ctx)
	joined := false
	var tried time.Time
	for {
		if !joined && time.Since(tried) >= mostRetryCall && n.shouldJoin() {
			tried = time.Now()
			joined = n.join(ctx)
		}
		if n.refreshSelf() {
			n.exchangeWith(ctx, n.pickPeers(readyWidth), n.message)
		} else {
			n.exchangeWith(ctx, n.pickPeers(1), n.message)
		}
		n.refreshSenders()
		if !pause(ctx, gossipEvery) {
			return
		}
	}
}

// refreshSelf takes this node's own state into the roster; it reports whether
// that changed.
func (n *Node) refreshSelf() bool {
	ready := n.Ready()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.SetSelf(ready, n.stopping.Load())
}

// pickPeers chooses some peers at random, or one of this node's contacts; one that is not known to live is
// tried now and then, as it may be back.
func (n *Node) pickPeers(count int) []gossip.Member {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	live := n.roster.Others()
	rand.Shuffle(len(live), func(i, k int) { live[i], live[k] = live[k], live[i] })
	picked := live[:min(len(live), count)]
	if contact, ok := n.contacts.pick(live, n.near); ok && count == 1 {
		picked = []gossip.Member{contact}
	}
	if len(live) >= count && rand.IntN(strangerOdds) > 0 {
		return picked
	}
	if stranger, ok := n.stranger(now); ok {
		picked = append(picked, stranger)
	}
	return picked
}

// farOdds is how many rounds of news pass, on average, between two with a node
// that may be in another failure domain. Readers tell each other what has to be
// known everywhere; what is left reaches a domain of twenty nodes within two
// rounds more. With 76 nodes, bytes between failure domains fall by a seventh.
const farOdds = 4

// near tells whether a node is in this node's own failure domain.
func (n *Node) near(m gossip.Member) bool { return m.Domain == n.settings.Domain }

// strangerOdds is how many rounds pass, on average, between two calls of a
// peer that is not known to live.
const strangerOdds = 6

// stranger picks a seed or a recorded member that is not known to live.
func (n *Node) stranger(now time.Time) (gossip.Member, bool) {
	all := append(n.seeds(), n.recorded...)
	all = append(all, n.roster.Known(now)[1:]...)
	return n.notLive(all)
}

// seed picks a seed that is not known to live; the caller holds mu.
func (n *Node) seed() (gossip.Member, bool) { return n.notLive(n.seeds()) }

// seeds are the settings' seeds, as members of which only the address is known.
func (n *Node) seeds() (all []gossip.Member) {
	for _, addr := range n.settings.Seeds {
		all = append(all, gossip.Member{Peer: addr})
	}
	return all
}

// notLive picks one of some members that is not known to live; the caller holds mu.
func (n *Node) notLive(all []gossip.Member) (gossip.Member, bool) {
	live := map[string]bool{n.settings.Peer: true}
	for _, m := range n.roster.Alive() {
		live[m.Peer] = true
	}
	unknown := slices.DeleteFunc(all, func(m gossip.Member) bool { return m.Peer == "" || live[m.Peer] })
	if len(unknown) == 0 {
		return gossip.Member{}, false
	}
	return unknown[rand.IntN(len(unknown))], true
}

// exchangeAll tells many peers at once, where news can't wait.
func (n *Node) exchangeAll(ctx context.Context) {
	n.exchangeWith(ctx, n.pickPeers(urgentWidth), n.message)
}

// urgentWidth bounds the peers told at once; they tell the others.
const urgentWidth = 12

// readyWidth is how many peers a node tells at once that it can serve, or no longer can.
// Hundreds that start together told twelve each, all of what they knew of each other.
const readyWidth = 4

// exchangeWith exchanges news with some peers; message says what one is told.
func (n *Node) exchangeWith(ctx context.Context, peers []gossip.Member, message func(to gossip.Member) gossip.Message) {
	if len(peers) == 1 {
		n.exchange(ctx, peers[0], message)
		return
	}
	work := pool.New().WithMaxGoroutines(feedWidth)
	for _, m := range peers {
		work.Go(func() { n.exchange(ctx, m, message) })
	}
	work.Wait()
}

// exchange exchanges news with one peer, twice where the first time showed that both
// know other members.
func (n *Node) exchange(ctx context.Context, m gossip.Member, message func(to gossip.Member) gossip.Message) {
	n.exchangeUpTo(ctx, exchangeTries, m, message)
}

// exchangeUpTo exchanges news with one peer in so many calls at most.
func (n *Node) exchangeUpTo(ctx context.Context, tries int, m gossip.Member, message func(to gossip.Member) gossip.Message) {
	var differing gossip.Message
	for range tries {
		if ctx.Err() != nil {
			return
		}
		out := message(m)
		out.Members = append(out.Members, differing.Members...)
		if len(differing.Digest) > 0 {
			out.Digest = differing.Digest
		}
		began := time.Now()
		in, err := n.peers.Exchange(m.Peer, out)
		n.countExchange(err)
		if err != nil {
			event.PeerCallFailed.Log(n.log, slog.String("peer", m.ID), slog.String("addr", m.Peer), slog.Int("upstreams", len(out.Fleet)),
				slog.Duration("after", time.Since(began)), slog.String("err", err.Error()))
			n.peerLost(m, err)
			return
		}
		if !n.take(in) {
			return
		}
		differing = n.differing(in.Digest)
		m = gossip.Member{ID: in.From, Born: in.Born, Peer: m.Peer}
	}
}

// differing returns this node's digest and its members in the parts of the roster in
// which a peer's differs.
func (n *Node) differing(theirs gossip.Digest) gossip.Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	return gossip.Message{Digest: n.roster.Digest(), Members: n.roster.Differing(theirs, time.Now())}
}

// countExchange counts an exchange with a peer.
func (n *Node) countExchange(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	n.metrics.Counter("hickorybank_peer_exchanges_total", "result", result).Inc()
}

// exchangeTries bounds the calls of one exchange.
const exchangeTries = 2

func (n *Node) peerLost(m gossip.Member, err error) {
	if m.ID == "" {
		return
	}
	n.mu.Lock()
	died := n.roster.Unreached(m.ID, time.Now())
	delete(n.told, m.ID)
	n.mu.Unlock()
	if died {
		event.PeerLost.Log(n.log, slog.String("peer", m.ID), slog.String("addr", m.Peer), slog.String("err", err.Error()))
	}
}
