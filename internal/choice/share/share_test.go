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

// settleTime is longer than a report and a scan take together.
const settleTime = 5 * time.Second

// A version degrades, and each node sees too few bad ratings to be sure. Together they
// suffice: all nodes must hold it within seconds, also a node that starts later.
// Otherwise the others go on serving it.
func TestHoldReachesAllNodesAndTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 6)
		nodes := c.startAll()
		defer c.stopAll()
		for _, n := range nodes {
			n.rate("dues@1", 0.8, 40)
		}
		time.Sleep(2 * settleTime)
		for range 2 {
			for _, n := range nodes {
				n.rate("dues@1", 0.3, 1)
			}
			time.Sleep(settleTime)
		}
		for _, n := range nodes {
			is.True(n.held("dues@1")) // two bad ratings on each node suffice together
		}
		list, err := nodes[0].share.Holds(t.Context())
		is.NoErr(err)
		is.Equal(len(list), 1)
		is.Equal(list[0].Term, uint64(1))
		late := c.start(platform.VM{ID: "late", Peer: "late", State: platform.Live}, c.members)
		time.Sleep(settleTime)
		is.True(late.held("dues@1"))
	})
}

// The table is down when a version degrades, and then loses replies, so that a node may
// or may not have recorded the hold. The hold must be in force on all nodes at once, and
// in the table as soon as it is back. Otherwise it is lost when the nodes restart.
func TestHoldIsRecordedAfterTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		nodes := c.startAll()
		defer c.stopAll()
		nodes[0].rate("dues@1", 0.8, 40)
		time.Sleep(2 * settleTime)
		is.NoErr(c.platform.SetFaults(fault.Change{Table: &fault.Fault{Down: true}}))
		nodes[0].rate("dues@1", 0.3, 10)
		time.Sleep(settleTime)
		for _, n := range nodes {
			is.True(n.held("dues@1"))
		}
		is.NoErr(c.platform.SetFaults(fault.Change{Table: &fault.Fault{LoseAcks: 1}}))
		time.Sleep(settleTime)
		list, err := nodes[1].share.Holds(t.Context())
		is.NoErr(err)
		is.Equal(len(list), 1)
		is.Equal(list[0].Term, uint64(1))
		is.True(!list[0].Lifted)
	})
}

// Lifting a hold must end exactly the term that the operator named, on all nodes.
// Otherwise a lifted hold returns, or a late lift ends a later hold.
func TestLiftEndsOneTermOnAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 4)
		nodes := c.startAll()
		defer c.stopAll()
		nodes[2].rate("dues@1", 0.8, 40)
		time.Sleep(2 * settleTime)
		nodes[2].rate("dues@1", 0.3, 10)
		time.Sleep(settleTime)
		ok, err := nodes[0].share.Lift(t.Context(), "dues@1", 2)
		is.NoErr(err)
		is.True(!ok) // there is no second term yet
		ok, err = nodes[0].share.Lift(t.Context(), "dues@1", 1)
		is.NoErr(err)
		is.True(ok)
		time.Sleep(settleTime)
		for _, n := range nodes {
			is.True(!n.held("dues@1"))
		}
		nodes[3].chooser.ApplyHold(choice.Hold{Version: "dues@1", Term: 1})
		is.True(!nodes[3].held("dues@1")) // the old hold arrives late
	})
}

// Every node considers itself responsible for the grants, because each has only itself as
// a member, and replies of the table are lost. The exposures of all nodes together must
// stay within the cap.
func TestExposureStaysWithinCapAcrossNodes(t *testing.T) {
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
		is.True(exposed > 10) // some grants are used
		is.True(exposed <= c.snapshot.Version("dues@3").ExposureCap)
	})
}

// All nodes are replaced. The new ones must have the ratings of the old ones; otherwise
// they start without estimates and use the best version until there are ratings again.
func TestRatingsSurviveReplacementOfAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 4)
		nodes := c.startAll()
		for _, n := range nodes {
			n.rate("dues@1", 0.8, 50)
		}
		time.Sleep(2 * archiveInterval)
		c.stopAll()
		nodes = c.startAll()
		defer c.stopAll()
		time.Sleep(archiveInterval + settleTime)
		collector := newGroup(c.members[0], c.members).collector("dues@1")
		weight := func() float64 { return c.nodes[collector.Peer].weight("dues@1") }
		is.True(weight() > 190)
		is.True(weight() <= 200)
		for _, n := range nodes {
			n.rate("dues@1", 0.8, 25)
		}
		time.Sleep(settleTime)
		is.True(weight() <= 200) // they may be among the restored ratings and must not count twice
		for _, n := range nodes {
			n.rate("dues@1", 0.8, 50)
		}
		time.Sleep(settleTime)
		is.True(weight() > 290) // the reported cells now have more weight than the restored ones
		is.True(weight() <= 300)
	})
}

// All nodes are one group while they are few; beyond that, groups follow failure domains,
// and a leaving VM belongs to none.
func TestLargeClusterIsGroupedByFailureDomain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, maxSingleGroup)
	g := newGroup(c.members[5], c.members)
	is.Equal(g.name, "all")
	is.Equal(len(g.members), maxSingleGroup)
	for _, vm := range c.members {
		is.Equal(newGroup(vm, c.members).collector("v").ID, g.collector("v").ID)
	}
	c = newCluster(t, 4*maxSingleGroup)
	g = newGroup(c.members[5], c.members)
	is.Equal(g.name, "d1")
	is.Equal(len(g.members), maxSingleGroup)
	leaving := c.members[1]
	leaving.State = platform.Leaving
	is.Equal(len(newGroup(c.members[5], []platform.VM{leaving}).members), 1) // only the node itself
}

// A node that was partitioned holds a version again after an operator has lifted its
// hold. Its late record must not undo the lift, and the node must receive the lift.
func TestLateRecordDoesNotUndoLift(t *testing.T) {
	is := is.New(t)
	table := memory.New()
	lifted := choice.Hold{Version: "dues@1", Term: 1, Lifted: true, Node: "e1"}
	_, err := recordHold(t.Context(), table, choice.Hold{Version: "dues@1", Term: 1, Node: "e1"})
	is.NoErr(err)
	_, err = recordHold(t.Context(), table, lifted)
	is.NoErr(err)
	stored, err := recordHold(t.Context(), table, choice.Hold{Version: "dues@1", Term: 1, Node: "e2"})
	is.NoErr(err)
	is.Equal(stored, lifted)
	list, unreadable, err := readHolds(t.Context(), table)
	is.NoErr(err)
	is.Equal(len(unreadable), 0)
	is.Equal(list, []choice.Hold{lifted})
}
