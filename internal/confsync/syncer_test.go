package confsync_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/confsync"
)

func TestChangeComesIntoForceOnAllNodes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 8, 4)
	f.change(0, f.doc.Presets[0].Name)
	f.await("revision 1", admitsUnder(1))
	f.change(1, f.doc.Presets[1].Name)
	f.nodes[3].RequestRead()
	f.await("revision 2", admitsUnder(2))
	for _, m := range f.nodes {
		is.Equal(m.Snapshot().Doc.Preset, f.doc.Presets[1].Name) // each revision has one preset
	}
	c := awaitInForce(is, f.nodes[0], 2)
	is.Equal(c.Members, 8)
	is.Equal(c.Have, 8)
	is.Equal(len(c.Lagging), 0)
}

// Twelve nodes of one failure domain: two read the table, and the others pull along a tree of
// two levels.
func TestChangesSpreadThroughTree(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 12, 1)
	f.change(0, f.doc.Presets[0].Name)
	f.await("the list", func(m *member) bool { return len(m.members()) == 12 })
	f.await("revision 1", admitsUnder(1))
	for revision := uint64(1); revision < 6; revision++ {
		f.change(revision, f.doc.Presets[revision%2].Name)
		f.await("the next revision", admitsUnder(revision+1))
	}
	f.await("a role", func(m *member) bool { s := m.Status(); return s.Reader || s.Parent != "" })
	// A member whose answer is late has a stand-in until it comes.
	deadline := time.Now().Add(waitLimit)
	for f.readers() != confsync.DefaultReaders && time.Now().Before(deadline) {
		time.Sleep(2 * time.Millisecond)
	}
	is.Equal(f.readers(), confsync.DefaultReaders)
}

// Work continues while the table is down for longer than the bound: no change can be
// accepted meanwhile, and more than half of the nodes vote for an outage. A node that
// starts during the outage gets the configuration from its peers, and a change after the
// outage comes into force as usual.
func TestWorkContinuesDuringTableOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 5, 2)
	f.change(0, f.doc.Presets[0].Name)
	f.await("the list", func(m *member) bool { return len(m.members()) == 5 })
	f.await("revision 1", admitsUnder(1))
	f.tableDown(true)
	f.await("outage mode", func(m *member) bool { return m.Status().Outage && m.Fresh() })
	f.add("late", "d0")
	f.await("revision 1 at every node", admitsUnder(1))
	f.tableDown(false)
	f.await("proofs of the table", func(m *member) bool { return m.Fresh() && !m.Status().Outage })
	f.change(1, f.doc.Presets[1].Name)
	f.await("revision 2", admitsUnder(2))
	awaitInForce(is, f.nodes[1], 2)
}

// A node that stops notifies the others; each reports the notice once.
func TestLeavingNoticeReachesAllNodes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 20, 1) // above the direct limit
	f.change(0, f.doc.Presets[0].Name)
	f.await("the list", func(m *member) bool { return len(m.members()) == 20 })
	f.await("revision 1", admitsUnder(1))
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	is.Equal(f.nodes[7].AnnounceLeaving(ctx), 0) // no peer missed
	f.await("the notice", func(m *member) bool { return m.knowsLeaving("n7") })
}

func TestValidateRefusesUnsafeSettings(t *testing.T) {
	is := is.New(t)
	is.NoErr(confsync.Settings{}.WithDefaults().Validate())
	bad := confsync.Settings{Bound: confsync.DefaultMaxHold}.WithDefaults()
	is.True(bad.Validate() != nil) // a held call takes longer than the bound
	bad = confsync.Settings{ReadInterval: confsync.DefaultBound}.WithDefaults()
	is.True(bad.Validate() != nil) // reads are too rare for the bound
}
