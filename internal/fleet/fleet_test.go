package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func record(id string) Record {
	return Record{ID: id, Service: "s", Addr: id + ":1", Version: "v1", Domain: "d0", Slots: 8}
}

func some(count int) *Fleet {
	f := New(Settings{Domain: "d0"})
	for i := range count {
		f.Put(record(fmt.Sprintf("u%d", i)), time.Unix(900, 0))
	}
	return f
}

// Whatever happens to upstreams, an attempt goes only to one that may take it,
// and when all attempts have ended nothing is counted any more.
func TestChoiceKeepsToWhatMayServe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New(Settings{Domain: "d0"})
		now := time.Unix(1000, 0)
		type open struct {
			u *Upstream
			w *Work
		}
		var running []open
		id := rapid.IntRange(0, 5)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			name := fmt.Sprintf("u%d", id.Draw(t, "id"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				r := record(name)
				r.Draining = rapid.Bool().Draw(t, "draining")
				r.Version = fmt.Sprintf("v%d", rapid.IntRange(1, 2).Draw(t, "version"))
				r.Service = rapid.SampledFrom([]string{"s", "other"}).Draw(t, "service")
				f.Put(r, now)
			case 1:
				f.Drop(name)
			case 2:
				f.Keep(name)
			case 3:
				w := AttemptSpec{Service: "s", Model: "m", Weight: 1, Tokens: rapid.IntRange(0, 9000).Draw(t, "tokens"), Seed: rapid.Uint64().Draw(t, "seed"),
					Tried: []string{"u0"}, NotVersions: []string{"v2"}}
				u := f.Choose(w, now)
				if u == nil {
					continue
				}
				if u.Draining || u.Service != "s" || u.Version != "v1" || u.ID == "u0" || now.Before(u.ejected) || f.Get(u.ID) != u {
					t.Fatalf("%+v may not serve", u)
				}
				running = append(running, open{u, f.Begin(u, &w, now)})
			case 4:
				if len(running) > 0 {
					o := running[0]
					running = running[1:]
					f.Started(o.u, o.w, now)
					f.End(o.u, o.w, Result(rapid.IntRange(0, 4).Draw(t, "result")), now)
				}
			}
		}
		for _, o := range running {
			f.End(o.u, o.w, Served, now)
		}
		for _, u := range f.byID {
			if u.inFlight != 0 || u.waitingOwn != 0 || u.pending > 1e-6 {
				t.Fatalf("%s still counts %d, %d, %v", u.ID, u.inFlight, u.waitingOwn, u.pending)
			}
		}
	})
}

// An upstream can't be reached: it is left alone for a while, longer each
// time, and tried again.
func TestUnreachedUpstreamIsLeftAlone(t *testing.T) {
	is := is.New(t)
	f := some(1)
	now := time.Unix(1000, 0)
	w := AttemptSpec{Service: "s"}
	for misses := range 6 {
		u := f.Choose(w, now)
		is.True(u != nil)
		f.End(u, f.Begin(u, &w, now), Unreached, now)
		is.Equal(f.Choose(w, now), nil)
		left := min(ejectBase<<misses, ejectMost)
		is.Equal(f.Choose(w, now.Add(left-1)), nil)
		now = now.Add(left)
	}
	u := f.Choose(w, now)
	f.End(u, f.Begin(u, &w, now), Served, now)
	is.True(f.Choose(w, now) != nil)
	is.Equal(u.misses, 0)
}

// A runner fails part of its requests although its health looks good. Others
// get the work while any has room.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	is := is.New(t)
	f := some(3)
	now := time.Unix(1000, 0)
	bad := f.Get("u1")
	w := AttemptSpec{Service: "s"}
	for range 6 {
		f.End(bad, f.Begin(bad, &w, now), Failed, now)
	}
	for seed := range uint64(50) {
		w.Seed = seed
		is.True(f.Choose(w, now) != bad)
	}
}

// Requests with the same last shared part go to the same few upstreams from
// every node, and spread when those are busy.
func TestSharedPartsMeet(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	w := AttemptSpec{Service: "s", Model: "m", Weight: 1, Tokens: 8000, Parts: []Part{{"p1", 500}, {"p2", 5000}}}
	chosen := map[string]bool{}
	for node := range uint64(6) {
		f := some(18)
		for seed := range uint64(20) {
			w.Seed = node<<32 | seed
			chosen[f.Choose(w, now).ID] = true
		}
	}
	is.True(len(chosen) <= affinityWidth)
	f := some(18)
	busy := map[string]bool{}
	for range 40 {
		w.Seed++
		u := f.Choose(w, now)
		busy[u.ID] = true
		f.Begin(u, &w, now)
	}
	is.True(len(busy) > affinityWidth)
}

// The load of all upstreams is known, and one is a little emptier than the one
// that has a prompt's shared part. A small model reads the part again in no time,
// so that the request itself would gain there; but every upstream would come to
// read and keep every part, and the prompts of the large model would find none
// where they go.
func TestSmallModelsFollowSharedParts(t *testing.T) {
	is := is.New(t)
	f := some(12)
	now := time.Unix(1000, 0)
	plain := AttemptSpec{Service: "s", Model: "small", Weight: 0.07, Tokens: 1500}
	shared := plain
	shared.Tokens, shared.Parts = 12000, []Part{{ID: "p", Tokens: 5000}}
	first := f.Choose(shared, now)
	f.Begin(first, &shared, now)
	for range 2 { // more than others have
		f.Begin(first, &plain, now)
	}
	for seed := range uint64(20) {
		shared.Seed = seed
		is.Equal(f.Choose(shared, now).ID, first.ID)
	}
	for range 10 * first.Slots {
		f.Begin(first, &plain, now)
	}
	is.True(f.Choose(shared, now) != first) // not at any price
}

// Two nodes that were told the same list agree, whatever each keeps for a
// while beside it.
func TestKeptUpstreamsAreNotListed(t *testing.T) {
	is := is.New(t)
	a, b := some(4), some(3)
	is.True(a.Hash() != b.Hash())
	is.True(a.Keep("u3"))
	is.True(!a.Keep("u3"))
	is.True(!a.Keep("u9"))
	is.Equal(a.Hash(), b.Hash())
	is.Equal(len(a.Records(time.Unix(1000, 0))), 3)
	w := AttemptSpec{Service: "s", Tried: []string{"u0", "u1", "u2"}}
	is.Equal(a.Choose(w, time.Unix(1000, 0)).ID, "u3") // it still serves
	a.Put(record("u3"), time.Unix(1000, 0))
	is.Equal(len(a.Records(time.Unix(1000, 0))), 4)
	is.True(slices.Equal(a.Versions("s"), []string{"v1"}))
}

// An upstream crashes and is back under a new ID at its address, while its old
// entry has not lapsed. Callers' requests went to the old ID, were turned away,
// and used up the retry budget: once for each node and upstream. Of two entries
// that were read together nobody can tell which is the older; an upstream that
// turned an attempt away as another's is not asked again.
func TestReplacedUpstreamIsNotAsked(t *testing.T) {
	is := is.New(t)
	read := time.Unix(1000, 0)
	f := New(Settings{Domain: "d0"})
	at := func(id string) Record {
		r := record(id)
		r.Addr = "10.0.0.1:1"
		return r
	}
	f.Put(at("old"), read)
	w := AttemptSpec{Service: "s"}
	is.Equal(f.Choose(w, read).ID, "old")
	hash := f.Hash()
	f.Put(at("new"), read.Add(time.Second))
	for seed := range uint64(20) {
		w.Seed = seed
		is.Equal(f.Choose(w, read.Add(time.Second)).ID, "new")
	}
	is.True(f.Hash() != hash)
	is.Equal(len(f.Records(time.Unix(1000, 0))), 2) // it is listed until its entry lapses

	both := New(Settings{Domain: "d0"})
	both.Put(at("one"), read)
	both.Put(at("two"), read)
	listed := both.Hash()
	is.True(both.Choose(w, read) != nil)
	both.Misdirected(both.Get("one"))
	for seed := range uint64(20) {
		w.Seed = seed
		is.Equal(both.Choose(w, read).ID, "two")
	}
	is.Equal(both.Hash(), listed) // nodes that do not know of it agree on the list
}
