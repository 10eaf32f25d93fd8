package confsync

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// loneNode drives a core that knows only itself; its table and its list answer
// at once as long as they are up.
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

// An inspector finds a withdrawn version's wording in a fresh assessment. A node
// starts, is cut off before the platform's lagging list names any of the others,
// and counts itself as the majority that goes on in an outage, while all the
// others have the withdrawal in force. It must refuse.
func TestYoungNodeThatIsCutOffRefuses(t *testing.T) {
	is := is.New(t)
	n := newLoneNode()
	n.run(time.Second)
	is.True(n.fresh())
	n.table, n.list = false, false
	n.run(time.Minute)
	is.True(!n.fresh())
}

// A deployment of one node goes on in an outage of the table: its lists have
// named nobody else for long enough.
func TestOnlyNodeGoesOnInAnOutage(t *testing.T) {
	is := is.New(t)
	n := newLoneNode()
	n.run(2 * listSettle)
	n.table = false
	n.run(time.Minute)
	is.True(n.fresh())
}
