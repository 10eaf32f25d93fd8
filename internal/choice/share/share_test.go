package share

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// soon is longer than a report and a scan take.
const soon = 5 * time.Second

// A version turned bad, one node saw it, and the others go on giving answers
// from it. First each node sees too few bad ratings to be sure, then one is
// sure. All must hold it within seconds, also a node that starts later.
func TestHoldReachesAllNodesAndTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 6)
		nodes := c.startAll()
		defer c.stopAll()
		for _, n := range nodes {
			n.rate("dues@1", 0.8, 40)
		}
		time.Sleep(2 * soon)
		for range 2 {
			for _, n := range nodes {
				n.rate("dues@1", 0.3, 1)
			}
			time.Sleep(soon)
		}
		for _, n := range nodes {
			is.True(n.held("dues@1")) // two bad ratings each were enough together
		}
		list, err := nodes[0].share.Holds(t.Context())
		is.NoErr(err)
		is.Equal(len(list), 1)
		is.Equal(list[0].Term, uint64(1))
		late := c.start(platform.VM{ID: "late", Peer: "late", State: platform.Live}, c.members)
		time.Sleep(soon)
		is.True(late.held("dues@1"))
	})
}

// The night's hold is gone in the morning. The table is down when the version
// turns bad, then an answer of the table is lost, so the node may have recorded
// the hold or not. It must be in force at all nodes at once, and be recorded
// once the table is back.
func TestHoldIsRecordedAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		nodes := c.startAll()
		defer c.stopAll()
		nodes[0].rate("dues@1", 0.8, 40)
		time.Sleep(2 * soon)
		is.NoErr(c.platform.SetFaults(fault.Change{Table: &fault.Fault{Down: true}}))
		nodes[0].rate("dues@1", 0.3, 10)
		time.Sleep(soon)
		for _, n := range nodes {
			is.True(n.held("dues@1"))
		}
		is.NoErr(c.platform.SetFaults(fault.Change{Table: &fault.Fault{LoseAcks: 1}}))
		time.Sleep(soon)
		list, err := nodes[1].share.Holds(t.Context())
		is.NoErr(err)
		is.Equal(len(list), 1)
		is.Equal(list[0].Term, uint64(1))
		is.True(!list[0].Lifted)
	})
}

// An operator lifts a hold, and it comes back by itself, or an old lifting ends
// a later hold. Only the term that the operator looked at may end, and it must
// end everywhere.
func TestLiftingEndsOneTermEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 4)
		nodes := c.startAll()
		defer c.stopAll()
		nodes[2].rate("dues@1", 0.8, 40)
		time.Sleep(2 * soon)
		nodes[2].rate("dues@1", 0.3, 10)
		time.Sleep(soon)
		ok, err := nodes[0].share.Lift(t.Context(), "dues@1", 2)
		is.NoErr(err)
		is.True(!ok) // there is no second term
		ok, err = nodes[0].share.Lift(t.Context(), "dues@1", 1)
		is.NoErr(err)
		is.True(ok)
		time.Sleep(soon)
		for _, n := range nodes {
			is.True(!n.held("dues@1"))
		}
		nodes[3].chooser.ApplyHold(choice.Hold{Version: "dues@1", Term: 1})
		is.True(!nodes[3].held("dues@1")) // the old hold, told late
	})
}

// A bad new version gives far more drafts than its cap. Every node believes
// that it hands out the grants, because each sees only itself, and answers of
// the table are lost. What all give together must stay within the cap.
func TestExposureStaysWithinTheCapOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 6)
		is.NoErr(c.platform.SetFaults(fault.Change{Table: &fault.Fault{LoseAckFraction: 0.3}}))
		var nodes []*node
		for _, vm := range c.members {
			nodes = append(nodes, c.start(vm, []platform.VM{vm}))
		}
		defer c.stopAll()
		exposed := 0
		for second := range 600 {
			for i, n := range nodes {
				for k := range 20 {
					if n.choose(c, uint64(second*1000+i*100+k)).Exposed {
						exposed++
					}
				}
			}
			time.Sleep(time.Second)
		}
		t.Log("exposed", exposed)
		is.True(exposed > 10) // it is tried at all
		is.True(exposed <= c.snapshot.Version("dues@3").ExposureCap)
	})
}

// After a night of replaced VMs the system starts as if it had never seen a
// rating, and pays for the best version until it has learned again. What the
// nodes knew must be known to those that come after them.
func TestRatingsOutliveAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 4)
		nodes := c.startAll()
		for _, n := range nodes {
			n.rate("dues@1", 0.8, 50)
		}
		time.Sleep(2 * saveGap)
		c.stopAll()
		nodes = c.startAll()
		defer c.stopAll()
		time.Sleep(saveGap + soon)
		collector := newGroup(c.members[0], c.members).collector("dues@1")
		weight := func() float64 { return c.nodes[collector.Peer].weight("dues@1") }
		is.True(weight() > 190)
		is.True(weight() <= 200)
		for _, n := range nodes {
			n.rate("dues@1", 0.8, 25)
		}
		time.Sleep(soon)
		is.True(weight() <= 200) // they may be among the restored: not twice
		for _, n := range nodes {
			n.rate("dues@1", 0.8, 50)
		}
		time.Sleep(soon)
		is.True(weight() > 290) // what the runs report weighs more now
		is.True(weight() <= 300)
	})
}

func TestGroups(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, largestGroup)
	g := newGroup(c.members[5], c.members)
	is.Equal(g.name, "all")
	is.Equal(len(g.members), largestGroup)
	for _, vm := range c.members {
		is.Equal(newGroup(vm, c.members).collector("v").ID, g.collector("v").ID)
	}
	c = newCluster(t, 4*largestGroup)
	g = newGroup(c.members[5], c.members)
	is.Equal(g.name, "d1")
	is.Equal(len(g.members), largestGroup)
	leaving := c.members[1]
	leaving.State = platform.Leaving
	is.Equal(len(newGroup(c.members[5], []platform.VM{leaving}).members), 1) // itself
}

// A node that was cut off holds a version again that an operator has looked at
// and brought back meanwhile. Its late record must not undo the lifting, and it
// must learn of it.
func TestLateRecordDoesNotUndoALifting(t *testing.T) {
	is := is.New(t)
	table := memory.New()
	lifted := choice.Hold{Version: "dues@1", Term: 1, Lifted: true, Node: "e1"}
	_, err := recordHold(t.Context(), table, choice.Hold{Version: "dues@1", Term: 1, Node: "e1"})
	is.NoErr(err)
	_, err = recordHold(t.Context(), table, lifted)
	is.NoErr(err)
	present, err := recordHold(t.Context(), table, choice.Hold{Version: "dues@1", Term: 1, Node: "e2"})
	is.NoErr(err)
	is.Equal(present, lifted)
	list, err := readHolds(t.Context(), table)
	is.NoErr(err)
	is.Equal(list, []choice.Hold{lifted})
}
