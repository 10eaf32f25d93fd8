package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/revision"
)

// The edits lead from a peer's list to the current one after any sequence of changes, and
// are no longer than the list.
func TestEditsProduceTheCurrentList(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		f := New(Settings{})
		id := rapid.IntRange(0, 9)
		step := func() {
			name := fmt.Sprintf("i-%d", id.Draw(t, "id"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1, 2:
				r := Record{ID: name, Service: "s", Addr: "10.0.0.1:80", Version: "v1", Slots: 1}
				r.Born = int64(rapid.IntRange(0, 1).Draw(t, "born"))
				r.Draining = rapid.Bool().Draw(t, "draining")
				f.Put(r, now)
			case 3:
				f.Drop(name)
			case 4:
				f.MarkUnlisted(name)
			}
		}
		for range rapid.IntRange(0, 20).Draw(t, "before") {
			step()
		}
		peer := New(Settings{})
		for _, r := range f.Records(time.Unix(1000, 0)) {
			peer.Put(r, now)
		}
		if peer.Hash() != f.Hash() {
			t.Fatalf("nodes with the same records have different hashes: %x and %x", peer.Hash(), f.Hash())
		}
		for range rapid.IntRange(1, minHistory).Draw(t, "after") {
			step()
		}
		if peer.Hash() == f.Hash() {
			return
		}
		e, ok := f.EditsSince(peer.Hash(), 0, now)
		if !ok {
			return
		}
		if e.Len() > len(f.byID) || e.From != peer.Hash() {
			t.Fatalf("got %d edits for a list of %d upstreams", e.Len(), len(f.byID))
		}
		put, _ := e.Put.Records()
		for _, r := range put {
			peer.Put(r, now)
		}
		for _, id := range e.Drop {
			peer.Drop(id)
		}
		if peer.Hash() != f.Hash() {
			t.Fatalf("edits produce the list %v, want %v", peer.Records(time.Unix(1000, 0)), f.Records(time.Unix(1000, 0)))
		}
	})
}

// Edits cover only what changed, and never start from a list that did not exist.
func TestOneChangeIsOneEdit(t *testing.T) {
	f := New(Settings{})
	now := time.Unix(1000, 0)
	for i := range 100 {
		f.Put(Record{ID: fmt.Sprintf("i-%d", i), Service: "s", Addr: fmt.Sprintf("10.0.0.%d:80", i)}, now)
	}
	before := f.Hash()
	f.Drop("i-7")
	e, ok := f.EditsSince(before, 0, now)
	if !ok || e.Put.Len() != 0 || len(e.Drop) != 1 {
		t.Fatalf("got edits %+v (ok: %t), want one drop", e, ok)
	}
	if _, ok := f.EditsSince(12345, 0, now); ok {
		t.Fatal("got edits from a list that never existed")
	}
}

// While a failure domain's upstreams restart, nodes must get edits, not full lists sent
// to all of them: with thousands of upstreams, more of them change than a fixed history
// holds.
func TestEditsCoverARestartOfADomain(t *testing.T) {
	f := New(Settings{})
	now := time.Unix(1000, 0)
	put := func(i int, born int64, cold time.Duration) {
		f.Put(Record{ID: fmt.Sprintf("i-%d", i), Service: "s", Addr: fmt.Sprintf("10.0.0.1:%d", i), Born: born, Cold: cold}, now)
	}
	for i := range 3000 {
		put(i, 1, 0)
	}
	before := f.Hash()
	for i := range 750 {
		put(i, 2, 3*time.Second)
	}
	for i := range 750 {
		put(i, 2, 0)
	}
	e, ok := f.EditsSince(before, 0, now)
	if !ok || e.Put.Len() != 750 {
		t.Fatalf("got %d edits (ok: %t), want 750", e.Put.Len(), ok)
	}
}

// Fails if a leader computes the same edits for each node of its group, or sends edits of an
// earlier list.
func TestEditsAreReusedForOneList(t *testing.T) {
	is := is.New(t)
	f, now := newTestFleet(20), time.Unix(1000, 0)
	before := f.Hash()
	f.Drop("u1")
	first, ok := f.EditsSince(before, 0, now)
	is.True(ok)
	is.Equal(first.Len(), 1)
	allocations := testing.AllocsPerRun(10, func() { f.EditsSince(before, 0, now) })
	is.Equal(allocations, 0.0)
	f.Drop("u2")
	second, ok := f.EditsSince(before, 0, now)
	is.True(ok)
	is.Equal(second.Len(), 2)
}

// Fails if a node that received the readings of one reader can't be brought up to the list of
// one that received another reader's by edits: their lists lie in between each other's, and the
// node then fetched the whole list.
func TestListsOfTwoReadersAreBridged(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	const base, last = 10, 30
	a, b := New(Settings{}), New(Settings{})
	read := func(f *Fleet, from, to revision.Revision) {
		f.SetRevision(to)
		for read := to; read > from; read-- { // edits are not in the table's order
			r := testRecord(fmt.Sprintf("u%d", read))
			r.Draining = true
			f.Put(r, now)
		}
	}
	for _, f := range []*Fleet{a, b} {
		f.SetRevision(base)
		for i := range 100 {
			f.Put(testRecord(fmt.Sprintf("u%d", i)), now)
		}
	}
	for from := revision.Revision(base); from < last; from += 4 {
		read(a, from, from+4)
	}
	read(b, base, base+7)
	e, ok := a.EditsSince(b.Hash(), base+7, now)
	is.True(ok)
	is.True(e.Len() <= last-base)
	put, ok := e.Put.Records()
	is.True(ok)
	for _, r := range put {
		b.Put(r, now)
	}
	is.Equal(a.Hash(), b.Hash())
	_, ok = a.EditsSince(b.Hash()+1, last, now) // it has all readings and another list
	is.True(!ok)
	_, ok = a.EditsSince(b.Hash()+1, base-1, now) // its reading is older than what is remembered
	is.True(!ok)
}

// Fails if short lists are fetched at each change: most of a list of 20 changes
// at once when its upstreams are listed again.
func TestEditsOfShortListsCoverMostOfThem(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		upstreams, changed int
		edits              bool
	}{{20, 19, true}, {20, 20, true}, {700, 600, true}, {2000, 1500, false}, {2000, 900, true}, {10_000, 6000, false}} {
		f := newTestFleet(c.upstreams)
		before := f.Hash()
		for i := range c.changed {
			f.Put(Record{ID: fmt.Sprintf("u%d", i), Service: "s", Addr: "10.0.0.9:1", Version: "v2", Slots: 1}, now)
		}
		e, ok := f.EditsSince(before, 0, now)
		if ok != c.edits || ok && e.Len() != c.changed {
			t.Errorf("%d of %d upstreams changed: got %d edits (ok: %t), want edits: %t", c.changed, c.upstreams, e.Len(), ok, c.edits)
		}
	}
}
