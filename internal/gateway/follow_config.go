package gateway

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/transfer"
)

// rejectedBackoff is how long this node fetches nothing after a configuration that it can't
// read, unless a newer one is known: a version that it can read may follow.
const rejectedBackoff = 5 * time.Second

// firstRejectedBackoff is that pause after the first rejection of a version: what this node has
// received may be at fault, and the bound on changes is shorter than rejectedBackoff.
const firstRejectedBackoff = 500 * time.Millisecond

// followConfig fetches newer configurations from peers.
//
// Gossip messages only carry a peer's version; a node with an older one fetches the newer
// from any peer that has it. This keeps changes fast when configurations are large. A
// reader that sent the whole configuration to all of its group would fill its link, and
// gossip, in-flight reports and freshness proofs would queue behind it.
func (n *Node) followConfig(ctx context.Context) {
	f := newConfigFetch(n)
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.newerConfig:
			f.run(ctx, func() bool { return !f.backingOffRejected(time.Now()) })
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
	wake(n.newerConfig)
}

// wake wakes the goroutine that receives from a channel of one place, unless it has been
// woken already.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Piece answers a peer that fetches a document. It is a method of the gossip service.
func (n *Node) Piece(in transfer.Ask) transfer.Piece {
	if in.Document == transfer.List {
		return n.listPiece(in)
	}
	return n.configSender.Answer(in, time.Now())
}

// configFetch fetches configurations.
type configFetch struct {
	documentFetch
	// rejectedVersion is the latest version that this node could not read, rejectedAt when,
	// and rejections how often.
	rejectedVersion int64
	rejectedAt      time.Time
	rejections      int
}

func newConfigFetch(n *Node) *configFetch {
	f := &configFetch{documentFetch: newDocumentFetch(n, transfer.Config)}
	f.known = func() uint64 { return uint64(n.configVersion()) }
	f.mayAsk = func(m gossip.Member, _ time.Time) bool { return n.peerStates[m.ID].configVersion > n.configVersion() }
	f.apply = f.applyVersion
	return f
}

// applyVersion applies a version of the configuration that was fetched from a peer.
func (f *configFetch) applyVersion(from gossip.Member, tag uint64) (usable bool, err error) {
	result, err := f.node.applyUpdate(f.receiver, from.ID)
	if result == updateRejected {
		f.noteRejected(int64(tag), time.Now())
	}
	return result != updateUnusable, err
}

// noteRejected records that this node could not read a version.
func (f *configFetch) noteRejected(version int64, now time.Time) {
	if version != f.rejectedVersion {
		f.rejections = 0
	}
	f.rejectedVersion, f.rejectedAt = version, now
	f.rejections++
	f.node.rejectedVersion.Store(version)
}

// backingOffRejected reports whether this node has recently rejected what its peers have.
//
// The back-off is for a configuration that a node of an older release can't read.
// Otherwise the node would fetch it from one peer after another for as long as the
// upgrade lasts.
func (f *configFetch) backingOffRejected(now time.Time) bool {
	pause := rejectedBackoff
	if f.rejections == 1 {
		pause = firstRejectedBackoff
	}
	return f.node.newestPeerVersion.Load() <= f.rejectedVersion && now.Sub(f.rejectedAt) < pause
}
