package gateway

import (
	"context"
	"log/slog"
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
	// emptyBackoff is how long this node leaves alone a peer that has nothing newer yet.
	emptyBackoff = 100 * time.Millisecond
)

// documentFetch fetches a newer state of a document from peers, piece by piece.
type documentFetch struct {
	node     *Node
	document transfer.Document
	receiver *transfer.Receiver
	// known returns the tag of this node's state.
	known func() uint64
	// mayAsk reports whether a peer probably has a newer state and may be asked now; the
	// caller of mayAsk holds the node's mu.
	mayAsk func(m gossip.Member, now time.Time) bool
	// apply uses the completed update of a peer. It reports whether the update was usable.
	apply func(from gossip.Member, tag uint64) (usable bool, err error)
	// retryAt is when peers may be asked again, by peer ID.
	retryAt map[string]time.Time
	// suggestedPeers are the IDs of peers that busy peers have named.
	suggestedPeers []string
}

func newDocumentFetch(n *Node, d transfer.Document) documentFetch {
	return documentFetch{node: n, document: d, receiver: transfer.NewReceiverOf(d, n.settings.ID), retryAt: map[string]time.Time{}}
}

// run fetches as long as wanted returns true and a peer has something newer.
func (f *documentFetch) run(ctx context.Context, wanted func() bool) {
	clear(f.retryAt)
	f.suggestedPeers = nil
	for ctx.Err() == nil && wanted() {
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

// nextPeer returns the peer to ask, or how long to wait for one. Both are zero if no peer
// may be asked.
func (f *documentFetch) nextPeer(now time.Time) (gossip.Member, time.Duration) {
	n := f.node
	n.mu.Lock()
	defer n.mu.Unlock()
	candidates := slices.DeleteFunc(n.roster.Others(), func(m gossip.Member) bool {
		return m.Peer == "" || !f.mayAsk(m, now) && !slices.Contains(f.suggestedPeers, m.ID)
	})
	n.draws.Shuffle(len(candidates), func(i, k int) { candidates[i], candidates[k] = candidates[k], candidates[i] })
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
func (f *documentFetch) preference(m gossip.Member) int {
	switch {
	case slices.Contains(f.suggestedPeers, m.ID):
		return 0
	case f.node.sameDomain(m):
		return 1
	default:
		return 2
	}
}

// fetchFrom fetches a peer's newer state piece by piece.
func (f *documentFetch) fetchFrom(ctx context.Context, peer gossip.Member) {
	n := f.node
	began := time.Now()
	for ctx.Err() == nil {
		f.receiver.Begin(f.known())
		p, err := n.transferClient.Piece(peer.Peer, f.receiver.NextRequest())
		f.countPiece(p, err)
		if err != nil {
			f.abort(peer, began, err)
			return
		}
		if p.Busy {
			f.suggestedPeers = p.Others
			f.noteProgress()
			f.backOff(peer, busyBackoff+time.Duration(n.draws.Int64N(int64(busyBackoff/2))))
			return
		}
		if p.To <= f.known() {
			f.backOff(peer, emptyBackoff)
			return
		}
		f.noteProgress()
		complete, err := f.receiver.Take(p)
		if err != nil {
			f.abort(peer, began, err)
			return
		}
		if complete {
			f.finish(peer, p.To, began)
			return
		}
	}
}

// finish notifies the sender that the transfer is complete, and applies the update.
func (f *documentFetch) finish(peer gossip.Member, tag uint64, began time.Time) {
	if _, err := f.node.transferClient.Piece(peer.Peer, f.receiver.NextRequest()); err != nil {
		f.backOff(peer, failedBackoff) // the sender's record of this transfer expires by itself
	}
	if usable, err := f.apply(peer, tag); !usable {
		f.forgetProgress()
		f.abort(peer, began, err)
	}
}

// noteProgress records that a peer serves this node or others. While it does, this node does
// not read the list from the table.
func (f *documentFetch) noteProgress() {
	if f.document != transfer.List {
		return
	}
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	f.node.view.listPendingAt = time.Now()
}

// forgetProgress lets this node read the list from the table: what a peer served was not usable.
func (f *documentFetch) forgetProgress() {
	if f.document != transfer.List {
		return
	}
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	f.node.view.listPendingAt = time.Time{}
	wake(f.node.readingDue)
}

// backOff leaves a peer alone for a time.
func (f *documentFetch) backOff(m gossip.Member, d time.Duration) {
	f.retryAt[m.ID] = time.Now().Add(d)
}

// abort logs a transfer that failed and leaves its peer alone for a while.
func (f *documentFetch) abort(peer gossip.Member, began time.Time, err error) {
	f.backOff(peer, failedBackoff)
	event.TableTransferInterrupted.Log(f.node.log, slog.String("peer", peer.ID), slog.String("document", f.document.String()),
		slog.Int64("version", f.node.configVersion()), slog.Int64("heard", f.node.newestPeerVersion.Load()),
		slog.Int("received", f.receiver.Received()), slog.Duration("after", time.Since(began)), slog.String("err", err.Error()))
}

// countPiece counts a call for a piece by its result.
func (f *documentFetch) countPiece(p transfer.Piece, err error) {
	result := "ok"
	switch {
	case err != nil:
		result = "failed"
	case p.Busy:
		result = "busy"
	}
	document := f.document.String()
	f.node.metrics.Counter("hickorybank_"+document+"_pieces_total", "result", result).Inc()
	f.node.metrics.Counter("hickorybank_" + document + "_received_bytes_total").Add(len(p.Data))
}
