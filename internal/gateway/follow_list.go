package gateway

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/archive"
	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/transfer"
)

const (
	// listOfferTTL is how long a peer's offer of its list counts.
	listOfferTTL = 3 * time.Second
	// farListDelay is how long a node leaves offers from other failure domains alone: a
	// whole list crosses to a domain a few times, and spreads inside it.
	farListDelay = 400 * time.Millisecond
)

// listOffers are the offers of peers' lists since this node last had the list of its peers.
type listOffers struct {
	// byPeer is when each peer offered its list, by peer ID; since is when the first did.
	byPeer map[string]time.Time
	since  time.Time
	// asOf is when the reading behind the last offer began, clock what the table's clock
	// showed then. gaplessSince is the latest start of an offering peer's series of readings
	// without a gap.
	asOf, gaplessSince time.Time
	clock              time.Duration
}

// followList fetches the list of upstreams from a peer while peers offer theirs, which they
// do to a node whose list they can't lead to their own by edits: it has just started, or was
// cut off for long.
//
// If each peer sent its list in a message, a node that starts among hundreds would receive
// it from each of them, and a list of 10,000 upstreams would time out on a narrow link.
func (n *Node) followList(ctx context.Context) {
	f := newDocumentFetch(n, transfer.List)
	f.known = func() uint64 { return 0 } // edits from another state are not requested here
	f.mayAsk = n.mayAskForList
	f.apply = func(from gossip.Member, _ uint64) (bool, error) { return n.applyFetchedList(ctx, f.receiver, from) }
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.listOffered:
			f.run(ctx, n.wantsList)
		}
	}
}

// noteListOffer records that a peer offers its list. asOf and clock are those of its reading,
// gaplessSince is the start of its readings without a gap. The caller holds mu.
func (n *Node) noteListOffer(from string, asOf time.Time, clock time.Duration, gaplessSince, now time.Time) {
	o := &n.listOffers
	if len(o.byPeer) == 0 {
		*o = listOffers{byPeer: map[string]time.Time{}, since: now}
	}
	o.byPeer[from] = now
	o.asOf, o.clock, o.gaplessSince = asOf, clock, later(o.gaplessSince, gaplessSince)
	wake(n.listOffered)
}

// wantsList reports whether peers have offered their lists since this node last had theirs.
func (n *Node) wantsList() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.listOffers.byPeer) > 0
}

// mayAskForList reports whether a peer may be asked for its list; the caller holds mu.
func (n *Node) mayAskForList(m gossip.Member, now time.Time) bool {
	offeredAt, offered := n.listOffers.byPeer[m.ID]
	if !offered || now.Sub(offeredAt) > listOfferTTL {
		return false
	}
	return n.sameDomain(m) || now.Sub(n.listOffers.since) >= farListDelay || n.receivesTableFrom(m.ID)
}

// errStaleList reports a list that is older than this node's own.
var errStaleList = errors.New("the list is older than this node's")

// applyFetchedList applies a list that was fetched from a peer. An exchange with that peer
// then shows how recent the list is.
func (n *Node) applyFetchedList(ctx context.Context, r *transfer.Receiver, from gossip.Member) (usable bool, err error) {
	update, err := r.Update(nil)
	r.Reset()
	if err != nil {
		return false, err
	}
	list, err := fleet.DecodeList(update.Raw())
	if err != nil {
		return false, err
	}
	if !n.applyList(list, from.ID, time.Now()) {
		return false, errStaleList
	}
	n.exchange(ctx, from, n.newMessage)
	return true, nil
}

// applyList applies a peer's list; it reports whether the list is as new as this node's own.
//
// An older list could bring back an upstream that has left. The table's clock decides which
// reading is newer.
func (n *Node) applyList(list fleet.List, from string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	offers := n.listOffers
	n.listOffers = listOffers{}
	if list.Revision < n.view.listRevision || list.Revision.Era() < n.view.era || !n.isListNewer(list.Revision, list.Clock) {
		return false
	}
	asOf := offers.asOf.Add(list.Clock - offers.clock)
	mayHaveLapsed := n.missedReadings(asOf) && !offers.gaplessSince.Before(n.view.listAsOf) || n.isFirstOfEra(list.Revision)
	n.setListRevision(list.Revision)
	n.putUpstreams(list.Records, now)
	n.dropUpstreams(n.unlisted(list.Records), asOf, mayHaveLapsed)
	if n.view.listAsOf.IsZero() {
		n.retain(list.Retained, now.Add(lapseGrace))
	}
	event.ListFetched.Log(n.log, slog.String("peer", from), slog.Int("upstreams", len(list.Records)), revisionAttr(list.Revision))
	return true
}

// listPiece answers a peer that fetches the list.
func (n *Node) listPiece(in transfer.Ask) transfer.Piece {
	if in.Offset == 0 {
		n.refreshListDocument()
	}
	return n.listSender.Answer(in, time.Now())
}

// refreshListDocument sets the list that is sent to peers to this node's own, if that has
// changed. Without requests a changed list is not encoded.
func (n *Node) refreshListDocument() {
	d := &n.listDocument
	d.Lock()
	defer d.Unlock()
	n.mu.Lock()
	hash, known, now := n.fleet.Hash(), n.view.listRevision, time.Now()
	if known == 0 || n.view.listAsOf.IsZero() || d.isCurrent(hash, known, now) {
		n.mu.Unlock()
		return
	}
	list := fleet.List{Records: n.fleet.Records(time.Now()), Retained: n.retainedRecords(), Revision: known, Clock: n.view.listClock}
	n.mu.Unlock()
	n.listSender.Set(archive.New(uint64(known), list.Encode(), nil))
	d.hash, d.revision, d.at = hash, known, now
}
