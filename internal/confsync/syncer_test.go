package confsync_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/confsync"
)

func TestChangesComeIntoForceEverywhere(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 8, 4)
	f.change(0, f.doc.Presets[0].Name)
	f.await("revision 1", has(1))
	f.change(1, f.doc.Presets[1].Name)
	f.nodes[3].Poke()
	f.await("revision 2", has(2))
	for _, m := range f.nodes {
		is.Equal(m.Snapshot().Doc.Preset, f.doc.Presets[1].Name) // one preset for one revision
	}
	c := awaitInForce(is, f.nodes[0], 2)
	is.Equal(c.Members, 8)
	is.Equal(c.Have, 8)
	is.Equal(len(c.Lagging), 0)
}

// Eight nodes of one failure domain: two read the table, the others pull along
// a tree of two levels.
func TestChangesComeDownTheTree(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 12, 1)
	f.change(0, f.doc.Presets[0].Name)
	f.await("the list", func(m *member) bool { return len(m.members()) == 12 })
	f.await("revision 1", has(1))
	for revision := uint64(1); revision < 6; revision++ {
		f.change(revision, f.doc.Presets[revision%2].Name)
		f.await("the next revision", has(revision+1))
	}
	f.await("a role", func(m *member) bool { s := m.Status(); return s.Reader || s.Parent != "" })
	readers := 0
	for _, m := range f.nodes {
		if m.Status().Reader {
			readers++
		}
	}
	is.Equal(readers, confsync.DefaultReaders)
}

// A caller sees no refusal while the table is down for longer than the bound:
// nothing can be accepted meanwhile, and more than half of the nodes say so.
// A node that starts in the outage gets the configuration from its peers, and
// a change after the outage comes into force as ever.
func TestOutageOfTheTable(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 5, 2)
	f.change(0, f.doc.Presets[0].Name)
	f.await("the list", func(m *member) bool { return len(m.members()) == 5 })
	f.await("revision 1", has(1))
	f.tableDown(true)
	f.await("outage mode", func(m *member) bool { return m.Status().Outage && m.Fresh() })
	f.add("late", "d0")
	f.await("revision 1 at every node", has(1))
	f.tableDown(false)
	f.await("proofs of the table", func(m *member) bool { return m.Fresh() && !m.Status().Outage })
	f.change(1, f.doc.Presets[1].Name)
	f.await("revision 2", has(2))
	awaitInForce(is, f.nodes[1], 2)
}

// One node of a planned stop tells the others; each hears it once.
func TestLeavingIsTold(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 20, 1) // more than one node tells itself
	f.change(0, f.doc.Presets[0].Name)
	f.await("the list", func(m *member) bool { return len(m.members()) == 20 })
	f.await("revision 1", has(1))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	is.Equal(f.nodes[7].AnnounceLeaving(ctx), 0) // nobody missed
	f.await("the notice", func(m *member) bool { return m.knowsLeaving("n7") })
}

func TestSettingsAreChecked(t *testing.T) {
	is := is.New(t)
	is.NoErr(confsync.Settings{}.WithDefaults().Validate())
	bad := confsync.Settings{Bound: confsync.DefaultMaxHold}.WithDefaults()
	is.True(bad.Validate() != nil) // a bound that one held call outlasts
	bad = confsync.Settings{ReadGap: confsync.DefaultBound}.WithDefaults()
	is.True(bad.Validate() != nil) // reads too rare for the bound
}
