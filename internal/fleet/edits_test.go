package fleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever happened since, edits lead from a list that a peer has to the present one;
// if not they are refused, and never longer than the list.
func TestEditsLeadToThePresentList(t *testing.T) {
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
				f.Keep(name)
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
			t.Fatalf("the same records have hashes %x and %x", peer.Hash(), f.Hash())
		}
		for range rapid.IntRange(1, leastHistory).Draw(t, "after") {
			step()
		}
		if peer.Hash() == f.Hash() {
			return
		}
		e, ok := f.EditsSince(peer.Hash(), now)
		if !ok {
			return
		}
		if len(e.Put)+len(e.Drop) > len(f.byID) || e.From != peer.Hash() {
			t.Fatalf("%d edits of a list of %d", len(e.Put)+len(e.Drop), len(f.byID))
		}
		for _, r := range e.Put {
			peer.Put(r, now)
		}
		for _, id := range e.Drop {
			peer.Drop(id)
		}
		if peer.Hash() != f.Hash() {
			t.Fatalf("edits lead to %v, not %v", peer.Records(time.Unix(1000, 0)), f.Records(time.Unix(1000, 0)))
		}
	})
}

func TestOneChangeIsOneEdit(t *testing.T) {
	f := New(Settings{})
	now := time.Unix(1000, 0)
	for i := range 100 {
		f.Put(Record{ID: fmt.Sprintf("i-%d", i), Service: "s", Addr: fmt.Sprintf("10.0.0.%d:80", i)}, now)
	}
	before := f.Hash()
	f.Drop("i-7")
	e, ok := f.EditsSince(before, now)
	if !ok || len(e.Put) != 0 || len(e.Drop) != 1 {
		t.Fatalf("%+v, %v", e, ok)
	}
	if _, ok := f.EditsSince(12345, now); ok {
		t.Fatal("edits from a list that nobody had")
	}
}

// TestEditsOfADomainThatRestarts guards against whole lists for all nodes while a failure
// domain's upstreams start again: of thousands, more change than were remembered.
func TestEditsOfADomainThatRestarts(t *testing.T) {
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
	e, ok := f.EditsSince(before, now)
	if !ok || len(e.Put) != 750 {
		t.Fatalf("%d edits, %v", len(e.Put), ok)
	}
}
