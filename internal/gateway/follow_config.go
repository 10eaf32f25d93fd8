package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/transfer"
)

const (
	// busyBackoff is how long this node leaves alone a peer that is serving others, plus up
	// to half as much at random. A peer needs about that long to serve one of them.
	busyBackoff = 50 * time.Millisecond
	// failedBackoff is how long this node leaves alone a peer that did not respond.
	failedBackoff = 500 * time.Millisecond
	// rejectedBackoff is how long this node fetches nothing after a configuration that it
	// can't read, unless a newer one is known: a version that it can read may follow.
	rejectedBackoff = 5 * time.Second
	// emptyBackoff is how long this node leaves alone a peer that has nothing newer yet.
	emptyBackoff = 100 * time.Millisecond
)

// followConfig fetches newer configurations from peers.
//
// Gossip messages only carry a peer's version; a node with an older one fetches the newer
// from any peer that has it. This keeps changes fast when configurations are large. A
// reader that sent the whole configuration to all of its group would fill its link, and
// gossip, in-flight reports and freshness proofs would queue behind it.
func (n *Node) followConfig(ctx context.Context) {
	f := &configFetch{node: n, receiver: transfer.NewReceiver(n.settings.ID), retryAt: map[string]time.Time{}}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.newerConfig:
			f.catchUp(ctx)
		}
	}
}

// notePeerVersion records that a peer has a version of the configuration.
func (n *Node) notePeerVersion(version int64) {
	if version <= n.configVersion() {
		return
	}
	for known := n.newestPeerVersion.Load(); version > known; known = n.newestPeerVersion.Load() {
		if n.newestPeerVersion.CompareAndSwap(known, version) {
			break
		}
	}
	select {
	case n.newerConfig <- struct{}{}:
	default: // a fetch is requested already
	}
}

// Piece answers a peer that fetches a newer configuration. It is a method of the gossip
// service.
func (n *Node) Piece(in transfer.Ask) transfer.Piece { return n.configSender.Answer(in, time.Now()) }

// configFetch is the state of followConfig.
type configFetch struct {
	node     *Node
	receiver *transfer.Receiver
	// retryAt is when peers may be asked again, by peer ID.
	retryAt map[string]time.Time
	// suggestedPeers are the IDs of peers that busy peers have named.
	suggestedPeers []string
	// rejectedVersion is the latest version that this node could not read, and rejectedAt
	// when.
	rejectedVersion int64
	rejectedAt      time.Time
}

// catchUp fetches newer configurations as long as any peer has one.
func (f *configFetch) catchUp(ctx context.Context) {
	clear(f.retryAt)
	f.suggestedPeers = nil
	for ctx.Err() == nil && !f.backingOffRejected(time.Now()) {
		peer, wait := f.nextPeer(time.Now())
		switch {
		case wait > 0:
			pause(ctx, wait)
		case peer.Peer == "":
			return
		default:
			f.fetchFrom(ctx, peer)
		}
	}
}

// backingOffRejected reports whether this node has recently rejected what its peers have.
//
// The back-off is for a configuration that a node of an older release can't read.
// Otherwise the node would fetch it from one peer after another for as long as the
// upgrade lasts.
func (f *configFetch) backingOffRejected(now time.Time) bool {
	return f.node.newestPeerVersion.Load() <= f.rejectedVersion && now.Sub(f.rejectedAt) < rejectedBackoff
}

// nextPeer returns the peer to ask, or how long to wait for one. Both are zero if no peer
// has a newer version.
func (f *configFetch) nextPeer(now time.Time) (gossip.Member, time.Duration) {
	n := f.node
	own := n.configVersion()
	n.mu.Lock()
	defer n.mu.Unlock()
	candidates := slices.DeleteFunc(n.roster.Others(), func(m gossip.Member) bool {
		return m.Peer == "" || n.peerStates[m.ID].configVersion <= own && !slices.Contains(f.suggestedPeers, m.ID)
	})
	rand.Shuffle(len(candidates), func(i, k int) { candidates[i], candidates[k] = candidates[k], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b gossip.Member) int { return f.preference(a) - f.preference(b) })
	wait := time.Duration(0)
	for _, m := range candidates {
		left := f.retryAt[m.ID].Sub(now)
		if left <= 0 {
			return m, 0
		}
		if wait == 0 || left < wait {
			wait = left
		}
	}
	return gossip.Member{}, wait
}

// preference ranks peers, lowest first: peers that others named, as nobody else may be
// fetching from them yet, then peers in this node's failure domain.
func (f *configFetch) preference(m gossip.Member) int {
	switch {
	case slices.Contains(f.suggestedPeers, m.ID):
		return 0
	case f.node.sameDomain(m):
		return 1
	default:
		return 2
	}
}

// fetchFrom fetches a peer's newer configuration piece by piece.
func (f *configFetch) fetchFrom(ctx context.Context, peer gossip.Member) {
	n := f.node
	began := time.Now()
	for ctx.Err() == nil {
		f.receiver.Begin(uint64(n.configVersion()))
		p, err := n.transferClient.Piece(peer.Peer, f.receiver.NextRequest())
		f.countPiece(p, err)
		if err != nil {
			f.abort(peer, began, err)
			return
		}
		if p.Busy {
			f.suggestedPeers = p.Others
			f.backOff(peer, busyBackoff+rand.N(busyBackoff/2))
			return
		}
		if p.To <= uint64(n.configVersion()) {
			f.backOff(peer, emptyBackoff)
			return
		}
		complete, err := f.receiver.Take(p)
		if err != nil {
			f.abort(peer, began, err)
			return
		}
		if complete {
			f.finish(peer, int64(p.To), began)
			return
		}
	}
}

// finish notifies the sender that the transfer is complete, and applies the version.
func (f *configFetch) finish(peer gossip.Member, version int64, began time.Time) {
	n := f.node
	if _, err := n.transferClient.Piece(peer.Peer, f.receiver.NextRequest()); err != nil {
		f.backOff(peer, failedBackoff) // the sender's record of this transfer expires by itself
	}
	result, err := n.applyUpdate(f.receiver, peer.ID)
	switch result {
	case updateUnusable:
		f.abort(peer, began, err)
	case updateRejected:
		f.rejectedVersion, f.rejectedAt = version, time.Now()
	}
}

// backOff leaves a peer alone for a time.
func (f *configFetch) backOff(m gossip.Member, d time.Duration) { f.retryAt[m.ID] = time.Now().Add(d) }

// abort logs a transfer that failed and leaves its peer alone for a while.
func (f *configFetch) abort(peer gossip.Member, began time.Time, err error) {
	f.backOff(peer, failedBackoff)
	event.TableTransferInterrupted.Log(f.node.log, slog.String("peer", peer.ID), slog.Int64("version", f.node.configVersion()),
		slog.Int64("heard", f.node.newestPeerVersion.Load()), slog.Int("received", f.receiver.Received()),
		slog.Duration("after", time.Since(began)), slog.String("err", err.Error()))
}

// countPiece counts a call for a piece by its result.
func (f *configFetch) countPiece(p transfer.Piece, err error) {
	result := "ok"
	switch {
	case err != nil:
		result = "failed"
	case p.Busy:
		result = "busy"
	}
	f.node.metrics.Counter("hickorybank_config_pieces_total", "result", result).Inc()
	f.node.metrics.Counter("hickorybank_config_received_bytes_total").Add(len(p.Data))
}
