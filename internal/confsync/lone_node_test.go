package confsync

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// loneNode runs a core that knows only itself. Its table and its list respond at once while
// they are up.
type loneNode struct {
	core  *Core
	now   time.Duration
	table bool
	list  bool
}

func newLoneNode() *loneNode {
	self := platform.VM{ID: "e3", Role: platform.RoleEntry, Peer: "127.0.0.1:1", FailureDomain: "manga", State: platform.Live}
	n := &loneNode{core: NewCore(Settings{}.WithDefaults(), self, 1, 0), table: true, list: true}
	n.step(MembersChanged{VMs: []platform.VM{self}})
	return n
}

func (n *loneNode) run(d time.Duration) {
	for end := n.now + d; n.now < end; n.now += 10 * time.Millisecond {
		n.step(Tick{})
	}
}

func (n *loneNode) step(e Event) {
	for _, d := range append([]Decision(nil), n.core.Step(n.now, e)...) {
		if answer := n.answer(d); answer != nil {
			n.step(answer)
		}
	}
}

func (n *loneNode) answer(d Decision) Event {
	switch d := d.(type) {
	case ReadHead:
		if !n.table {
			return ReadFailed(d)
		}
		return HeadRead{Token: d.Token, Revision: 1}
	case ReadList:
		if !n.list {
			return ListFailed(d)
		}
		return ListRead{Token: d.Token, Digest: 7}
	case Fetch:
		return Applied(d)
	}
	return nil
}

func (n *loneNode) fresh() bool { return n.core.FreshUntil() > n.now }

// A node starts and is cut off before the platform's lagging list shows any other node.
// It must refuse work instead of counting itself as the majority in an outage. Otherwise
// it may answer by a withdrawn version, because the withdrawal may be in force on all
// other nodes.
func TestNodeCutOffSoonAfterStartRefuses(t *testing.T) {
	is := is.New(t)
	n := newLoneNode()
	n.run(time.Second)
	is.True(n.fresh())
	n.table, n.list = false, false
	n.run(time.Minute)
	is.True(!n.fresh())
}

// A single node continues during an outage of the table, once its lists have shown no other
// node for long enough.
func TestSingleNodeContinuesDuringOutage(t *testing.T) {
	is := is.New(t)
	n := newLoneNode()
	n.run(2 * listSettleTime)
	n.table = false
	n.run(time.Minute)
	is.True(n.fresh())
}
