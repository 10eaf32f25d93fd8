package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/gossip"
)

// listNode is a member of a group that knows two upstreams as of a time.
type listNode struct {
	*Node
	// peer is what another node knows, whose news this one hears.
	peer *fleet.Fleet
}

func newListNode(at time.Time) *listNode {
	n := &listNode{Node: newGroupNode(false), peer: fleet.New(fleet.Settings{})}
	for _, id := range []string{"u1", "u2"} {
		r := fleet.Record{ID: id, Service: "s", Addr: "10.0.0.1:1", Version: "v1", Slots: 1}
		n.fleet.Put(r, at)
		n.peer.Put(r, at)
	}
	n.list.provenAt, n.list.steadySince, n.list.revision = at, at, 10
	return n
}

// hear takes news of a reading of the table that began at a time, by a peer that has
// read it without a gap for steady.
func (n *listNode) hear(now, at time.Time, steady time.Duration, revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	in := gossip.Message{From: "n1", Fleet: n.peer.Records(time.Now()), Proof: gossip.Proof{
		Age: now.Sub(at), Steady: steady, FleetRevision: revision, FleetHash: n.peer.Hash(),
		ListClock: at.Sub(n.began),
	}}
	n.takeListProof(in, now)
}

func (n *listNode) listed(id string) bool { return n.fleet.Get(id) != nil }

// A node is cut off from the table and from most peers. An upstream leaves, and the
// node hears of it 3.7 s after its last proof, from a peer that read the table 1.3 s
// before. By the clock it had been away and kept the upstream as one whose entry may
// have lapsed; by the readings it had not, so that nothing ended the keeping. It heard
// proofs from its peers all the while, never called the table itself again, took it
// for lost for good, and sent requests to the upstream 15 s after that had left.
func TestKeptUpstreamEndsWithPeersProofs(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	n := newListNode(start)
	n.sources.down = true // its own last call failed
	n.peer.Drop("u1")
	after := func(d time.Duration) time.Time { return start.Add(d) }
	n.hear(after(3700*time.Millisecond), after(2400*time.Millisecond), time.Second, 20)
	for d := 4 * time.Second; d <= 8*time.Second; d += 500 * time.Millisecond {
		n.hear(after(d), after(d-400*time.Millisecond), d-2400*time.Millisecond, 20)
	}
	is.True(!n.listed("u1"))
	is.True(n.listed("u2"))
}

// The table is away, and so is every entry at its first reading afterwards. It is away
// again at once: nothing shows that the upstreams have left, and they go on serving
// until a reading that is late enough does not list them either.
func TestKeptUpstreamsOutliveASecondOutage(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	n := newListNode(start)
	after := func(d time.Duration) time.Time { return start.Add(d) }
	n.peer.Drop("u1")
	n.hear(after(10*time.Second), after(10*time.Second), 0, 20)
	is.True(n.listed("u1"))
	n.hear(after(20*time.Second), after(11*time.Second), 0, 20) // a reading that is too early
	is.True(n.listed("u1"))
	n.hear(after(21*time.Second), after(21*time.Second), 0, 20)
	is.True(!n.listed("u1"))
}

// A node that was cut off hears of an upstream that vanished from a peer that has read
// the table without a gap since before: there the entry cannot have lapsed unseen.
func TestSteadyPeersWordEndsAnUpstreamAtOnce(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	n := newListNode(start)
	n.peer.Drop("u1")
	now := start.Add(10 * time.Second)
	n.hear(now, now, 15*time.Second, 20)
	is.True(!n.listed("u1"))
	is.True(n.listed("u2"))
}
