package gateway

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
)

// followPeers joins the deployment and then gossips with one peer per round.
func (n *Node) followPeers(ctx context.Context) {
	n.contactSeeds(ctx)
	joined := false
	var tried time.Time
	for {
		joined = joined && !n.takeRejoin()
		if !joined && time.Since(tried) >= maxRetryDelay && n.shouldJoin() {
			tried = time.Now()
			joined = n.join(ctx)
		}
		if n.refreshSelf() {
			n.exchangeWith(ctx, n.pickPeers(readyPeers), n.newMessage)
		} else {
			n.exchangeWith(ctx, n.pickPeers(1), n.newMessage)
		}
		n.refreshSenders()
		if !pause(ctx, gossipInterval) {
			return
		}
	}
}

// refreshSelf updates this node's own entry in the roster; it reports whether that changed.
func (n *Node) refreshSelf() bool {
	ready := n.Ready()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roster.SetSelf(ready, n.isStopping())
}

// pickPeers returns up to count of this node's contacts, or random peers if count exceeds
// readyPeers. It occasionally adds a peer that is not known to be alive, as it may have
// recovered.
func (n *Node) pickPeers(count int) []gossip.Member {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var picked []gossip.Member
	if count <= readyPeers {
		for range count {
			contact, ok := n.contacts.pick(n.draws, n.roster, n.sameDomain)
			if ok && !slices.Contains(picked, contact) {
				picked = append(picked, contact)
			}
		}
	} else {
		live := n.roster.Others()
		n.draws.Shuffle(len(live), func(i, k int) { live[i], live[k] = live[k], live[i] })
		picked = live[:min(len(live), count)]
	}
	if len(picked) >= count && n.draws.IntN(unknownPeerOdds) > 0 {
		return picked
	}
	if peer, ok := n.unknownPeer(now); ok {
		picked = append(picked, peer)
	}
	return picked
}

// farOdds is the mean number of gossip rounds between two with a node of another failure
// domain. Readers push urgent changes to all domains; the rest reaches a domain of twenty
// nodes within two more rounds. With 76 nodes this saves a seventh of the bytes between
// failure domains.
const farOdds = 4

// sameDomain reports whether a node is in this node's failure domain.
func (n *Node) sameDomain(m gossip.Member) bool { return m.Domain == n.settings.Domain }

// unknownPeerOdds is the mean number of rounds between two calls of a peer that is not
// known to be alive.
const unknownPeerOdds = 6

// unknownPeer picks a seed or a recorded member that is not known to be alive; the caller
// holds mu. A recorded member is called by its address alone: the record may be outdated or of
// another writer, and a failed call must not count against the member with its ID.
func (n *Node) unknownPeer(now time.Time) (gossip.Member, bool) {
	all := n.seeds()
	for _, m := range n.recordedMembers {
		all = append(all, gossip.Member{Peer: m.Peer})
	}
	all = append(all, n.roster.Dead(now)...)
	return n.pickNotLive(all)
}

// seed picks a seed that is not known to be alive; the caller holds mu.
func (n *Node) seed() (gossip.Member, bool) { return n.pickNotLive(n.seeds()) }

// seeds returns the configured seeds as members of which only the address is known.
func (n *Node) seeds() (all []gossip.Member) {
	for _, addr := range n.settings.Seeds {
		all = append(all, gossip.Member{Peer: addr})
	}
	return all
}

// pickNotLive picks a random one of all that is not known to be alive; the caller holds mu.
func (n *Node) pickNotLive(all []gossip.Member) (gossip.Member, bool) {
	live := map[string]bool{n.settings.Peer: true}
	for _, m := range n.roster.Alive() {
		live[m.Peer] = true
	}
	unknown := slices.DeleteFunc(all, func(m gossip.Member) bool { return m.Peer == "" || live[m.Peer] })
	if len(unknown) == 0 {
		return gossip.Member{}, false
	}
	return unknown[n.draws.IntN(len(unknown))], true
}

// exchangeUrgently gossips with several peers at once, for changes that can't wait for a
// round.
func (n *Node) exchangeUrgently(ctx context.Context) {
	n.exchangeWith(ctx, n.pickPeers(urgentPeers), n.newMessage)
}

// urgentPeers bounds the peers that are called at once; they pass the change on.
const urgentPeers = 12

// readyPeers is how many peers a node calls at once when its readiness changes. It is
// smaller than urgentPeers, as hundreds of nodes may start together and each describes the
// members it knows.
const readyPeers = 4

// exchangeWith gossips with some peers; message builds the message for each.
func (n *Node) exchangeWith(ctx context.Context, peers []gossip.Member, message func(to gossip.Member) gossip.Message) {
	n.exchangeWithAll(ctx, peers, maxExchangeCalls, message)
}

// pushTo pushes this node's state to some peers. Rosters are not compared: a push goes to
// many at once, and rounds of gossip compare them.
func (n *Node) pushTo(ctx context.Context, peers []gossip.Member) {
	n.exchangeWithAll(ctx, peers, 1, n.pushMessage)
}

// exchangeWithAll gossips with some peers, in the given number of calls at most with each.
func (n *Node) exchangeWithAll(ctx context.Context, peers []gossip.Member, calls int, message func(to gossip.Member) gossip.Message) {
	if len(peers) == 1 {
		n.exchangeUpTo(ctx, calls, peers[0], message)
		return
	}
	work := pool.New().WithMaxGoroutines(maxParallelExchanges)
	for _, m := range peers {
		work.Go(func() { n.exchangeUpTo(ctx, calls, m, message) })
	}
	work.Wait()
}

// exchange gossips with one peer, twice if the first answer shows that the rosters differ.
func (n *Node) exchange(ctx context.Context, m gossip.Member, message func(to gossip.Member) gossip.Message) {
	n.exchangeUpTo(ctx, maxExchangeCalls, m, message)
}

// exchangeUpTo gossips with one peer in the given number of calls at most.
func (n *Node) exchangeUpTo(ctx context.Context, calls int, m gossip.Member, message func(to gossip.Member) gossip.Message) {
	var difference gossip.Message
	for range calls {
		if ctx.Err() != nil {
			return
		}
		out := message(m)
		if len(difference.Digest) > 0 {
			out.Digest, out.Marks = difference.Digest, difference.Marks
			out.Members = append(out.Members, difference.Members...)
		}
		began := time.Now()
		in, err := n.gossipClient.Exchange(m.Peer, out)
		n.countExchange(err)
		if err != nil {
			event.PeerCallFailed.Log(n.log, slog.String("peer", m.ID), slog.String("addr", m.Peer), slog.Int("upstreams", out.Edits.Put.Len()),
				slog.Duration("after", time.Since(began)), slog.String("err", err.Error()))
			n.notePeerFailure(m, err)
			return
		}
		if !n.receive(in) {
			return
		}
		difference = n.rosterDifference(in.Digest)
		m = gossip.Member{ID: in.From, Born: in.Born, Peer: m.Peer}
	}
}

// rosterDifference returns this node's digest, its marks of the members in the parts of the
// roster in which a peer's digest differs, and its recent changes.
func (n *Node) rosterDifference(theirs gossip.Digest) gossip.Message {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return gossip.Message{Digest: n.roster.Digest(), Marks: n.roster.Marks(theirs, now), Members: n.roster.Recent(now)}
}

// countExchange counts a call of a peer by its result.
func (n *Node) countExchange(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	n.metrics.Counter("hickorybank_peer_exchanges_total", "result", result).Inc()
}

// maxExchangeCalls bounds the calls of one exchange.
const maxExchangeCalls = 2

// notePeerFailure records that a call of a peer failed.
func (n *Node) notePeerFailure(m gossip.Member, err error) {
	if m.ID == "" {
		return
	}
	n.mu.Lock()
	died := n.roster.RecordMiss(m.ID, time.Now())
	delete(n.peerStates, m.ID)
	n.mu.Unlock()
	if died {
		event.PeerLost.Log(n.log, slog.String("peer", m.ID), slog.String("addr", m.Peer), slog.String("err", err.Error()))
	}
}
