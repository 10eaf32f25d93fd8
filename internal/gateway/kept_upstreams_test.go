package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/gossip"
	"github.com/hickorybank/hickorybank/internal/revision"
)

// listTestNode is a member of a group that knows two upstreams as of a time.
type listTestNode struct {
	*Node
	// peer is the list of the peer whose readings this node receives.
	peer *fleet.Fleet
}

func newListNode(knownAt time.Time) *listTestNode {
	n := &listTestNode{Node: newGroupNode(false), peer: fleet.New(fleet.Settings{})}
	for _, id := range []string{"u1", "u2"} {
		r := fleet.Record{ID: id, Service: "s", Addr: "10.0.0.1:1", Version: "v1", Slots: 1}
		n.fleet.Put(r, knownAt)
		n.peer.Put(r, knownAt)
	}
	n.view.listAsOf, n.view.gaplessSince, n.view.listRevision = knownAt, knownAt, 10
	return n
}

// receiveReading delivers a peer's reading of the table that began at the time at; the peer
// has read the table without a gap for the time gapless.
func (n *listTestNode) receiveReading(now, at time.Time, gapless time.Duration, read revision.Revision) {
	in := gossip.Message{From: "n1", Proof: gossip.Proof{
		Age: now.Sub(at), Steady: gapless, ListRead: read, FleetHash: n.peer.Hash(),
		ListClock: at.Sub(n.startedAt),
	}}
	edits, ok := n.peer.EditsSince(n.fleet.Hash(), n.view.listRevision, now)
	in.Edits, in.ListOffered = edits, !ok
	n.mergeProof(in, now)
	if n.wantsList() {
		n.applyList(fleet.List{Records: n.peer.Records(now), Revision: read, Clock: in.Proof.ListClock}, "n1", now)
		n.mergeProof(in, now)
	}
}

func (n *listTestNode) mergeProof(in gossip.Message, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mergeListProof(in, now)
}

func (n *listTestNode) listed(id string) bool { return n.fleet.Get(id) != nil }

// Regression: an upstream was retained for good and got requests after it had left. The
// node is cut off from the table and from most peers. 3.7 s after its last proof it
// learns that an upstream left, from a peer that read the table 1.3 s before. By the
// clock the upstream's entry could have lapsed, so it was retained; by the readings there
// was no gap, so nothing ended that. The node kept receiving proofs, never called the
// table again, and sent requests to the upstream 15 s after it had left.
func TestRetainedUpstreamIsDroppedByPeersProofs(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	n := newListNode(start)
	n.sourceHealth.down = true // its own last call failed
	n.peer.Drop("u1")
	after := func(d time.Duration) time.Time { return start.Add(d) }
	n.receiveReading(after(3700*time.Millisecond), after(2400*time.Millisecond), time.Second, 20)
	for d := 4 * time.Second; d <= 8*time.Second; d += 500 * time.Millisecond {
		n.receiveReading(after(d), after(d-400*time.Millisecond), d-2400*time.Millisecond, 20)
	}
	is.True(!n.listed("u1"))
	is.True(n.listed("u2"))
}

// Live upstreams survive a second outage. The first reading after the first outage lists
// none of them, and the table fails again at once. They must keep serving until a late
// enough reading does not list them either.
func TestRetainedUpstreamsSurviveASecondOutage(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	n := newListNode(start)
	after := func(d time.Duration) time.Time { return start.Add(d) }
	n.peer.Drop("u1")
	n.receiveReading(after(10*time.Second), after(10*time.Second), 0, 20)
	is.True(n.listed("u1"))
	n.receiveReading(after(20*time.Second), after(11*time.Second), 0, 20) // this reading is too early
	is.True(n.listed("u1"))
	n.receiveReading(after(21*time.Second), after(21*time.Second), 0, 20)
	is.True(!n.listed("u1"))
}

// An upstream that has left is not retained. A node that was cut off learns of its end
// from a peer that has read the table without a gap, so the entry cannot have lapsed
// unseen.
func TestGaplessPeerDropsAnUpstreamAtOnce(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	n := newListNode(start)
	n.peer.Drop("u1")
	now := start.Add(10 * time.Second)
	n.receiveReading(now, now, 15*time.Second, 20)
	is.True(!n.listed("u1"))
	is.True(n.listed("u2"))
}
