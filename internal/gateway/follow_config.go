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
	// busyRest is how long a peer that serves others is left alone, and half as much
	// again by chance: about as long as it needs for one of them.
	busyRest = 50 * time.Millisecond
	// failedRest is how long a peer is left alone that did not answer.
	failedRest = 500 * time.Millisecond
	// refusedRest is how long all are left alone after a configuration that this node
	// can't read, unless there is a newer one: a release that can may follow.
	refusedRest = 5 * time.Second
	// emptyRest is how long one is left alone that has nothing newer yet.
	emptyRest = 100 * time.Millisecond
)

// followConfig brings in newer configurations that peers have.
//
// News name a peer's version only; a node that has an older one takes the newer from
// whoever has it. It guards against changes that come late because they are large: a
// reader that sent the whole to all of its group would fill its link, and news, flights
// and proofs of freshness would wait behind it.
func (n *Node) followConfig(ctx context.Context) {
	f := &configFetch{node: n, receiver: transfer.NewReceiver(n.settings.ID), rests: map[string]time.Time{}}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.newer:
			f.catchUp(ctx)
		}
	}
}

// hearVersion notes that a peer has a version of the configuration.
func (n *Node) hearVersion(version int64) {
	if version <= n.configVersion() {
		return
	}
	for heard := n.heardVersion.Load(); version > heard; heard = n.heardVersion.Load() {
		if n.heardVersion.CompareAndSwap(heard, version) {
			break
		}
	}
	select {
	case n.newer <- struct{}{}:
	default: // the duty is about to look already
	}
}

// Piece answers a peer that asks for a newer configuration.
func (n *Node) Piece(in transfer.Ask) transfer.Piece { return n.sender.Answer(in, time.Now()) }

// configFetch is the duty's state.
type configFetch struct {
	node     *Node
	receiver *transfer.Receiver
	// rests is until when peers are left alone, by their IDs.
	rests map[string]time.Time
	// tips are peers that others named.
	tips []string
	// refused is the latest version that was refused, and refusedAt when.
	refused   int64
	refusedAt time.Time
}

// catchUp takes newer configurations from peers as long as some have one.
func (f *configFetch) catchUp(ctx context.Context) {
	clear(f.rests)
	f.tips = nil
	for ctx.Err() == nil && !f.resting(time.Now()) {
		peer, wait := f.choose(time.Now())
		switch {
		case wait > 0:
			pause(ctx, wait)
		case peer.Peer == "":
			return
		default:
			f.takeFrom(ctx, peer)
		}
	}
}

// resting tells whether what peers have was refused a moment ago.
//
// It guards against a document that a node of an older release can't read: it would
// take it from one peer after the other, for as long as the upgrade lasts.
func (f *configFetch) resting(now time.Time) bool {
	return f.node.heardVersion.Load() <= f.refused && now.Sub(f.refusedAt) < refusedRest
}

// choose returns the peer to ask, or how long to wait for one; neither when nobody
// has a newer version.
func (f *configFetch) choose(now time.Time) (gossip.Member, time.Duration) {
	n := f.node
	own := n.configVersion()
	n.mu.Lock()
	defer n.mu.Unlock()
	have := slices.DeleteFunc(n.roster.Others(), func(m gossip.Member) bool {
		return m.Peer == "" || n.told[m.ID].config <= own && !slices.Contains(f.tips, m.ID)
	})
	rand.Shuffle(len(have), func(i, k int) { have[i], have[k] = have[k], have[i] })
	slices.SortStableFunc(have, func(a, b gossip.Member) int { return f.order(a) - f.order(b) })
	wait := time.Duration(0)
	for _, m := range have {
		rest := f.rests[m.ID].Sub(now)
		if rest <= 0 {
			return m, 0
		}
		if wait == 0 || rest < wait {
			wait = rest
		}
	}
	return gossip.Member{}, wait
}

// order puts peers that others named first, as nobody else may ask them yet, then
// those of this node's own failure domain.
func (f *configFetch) order(m gossip.Member) int {
	switch {
	case slices.Contains(f.tips, m.ID):
		return 0
	case f.node.near(m):
		return 1
	default:
		return 2
	}
}

// takeFrom takes what a peer has that is newer, piece by piece.
func (f *configFetch) takeFrom(ctx context.Context, peer gossip.Member) {
	n := f.node
	began := time.Now()
	for ctx.Err() == nil {
		f.receiver.Begin(uint64(n.configVersion()))
		p, err := n.contents.Piece(peer.Peer, f.receiver.Ask())
		f.count(p, err)
		if err != nil {
			f.cut(peer, began, err)
			return
		}
		if p.Busy {
			f.tips = p.Others
			f.rest(peer, busyRest+rand.N(busyRest/2))
			return
		}
		if p.To <= uint64(n.configVersion()) {
			f.rest(peer, emptyRest)
			return
		}
		whole, err := f.receiver.Take(p)
		if err != nil {
			f.cut(peer, began, err)
			return
		}
		if whole {
			f.finish(peer, int64(p.To), began)
			return
		}
	}
}

// finish tells the sender that all of a version has come, and puts it in force.
func (f *configFetch) finish(peer gossip.Member, version int64, began time.Time) {
	n := f.node
	if _, err := n.contents.Piece(peer.Peer, f.receiver.Ask()); err != nil {
		f.rest(peer, failedRest) // it forgets this node by itself
	}
	result, err := n.applyUpdate(f.receiver, peer.ID)
	switch result {
	case unfit:
		f.cut(peer, began, err)
	case refused:
		f.refused, f.refusedAt = version, time.Now()
	}
}

func (f *configFetch) rest(peer gossip.Member, d time.Duration) { f.rests[peer.ID] = time.Now().Add(d) }

// cut notes that a transfer ended before its time.
func (f *configFetch) cut(peer gossip.Member, began time.Time, err error) {
	f.rest(peer, failedRest)
	event.TableCut.Log(f.node.log, slog.String("peer", peer.ID), slog.Int64("version", f.node.configVersion()),
		slog.Int64("heard", f.node.heardVersion.Load()), slog.Int("received", f.receiver.Received()),
		slog.Duration("after", time.Since(began)), slog.String("err", err.Error()))
}

func (f *configFetch) count(p transfer.Piece, err error) {
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
