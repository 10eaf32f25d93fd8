package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fewSlots is many nodes before many upstreams with few slots: each node sends a
// hundredth of what an upstream gets.
var fewSlots = site{nodes: 76, upstreams: 112, slots: 12, readRate: 41000}

// withLargePrompts draws prompts of some hundred tokens and, for a quarter, of ten
// thousand and more that share parts; half are for the large model.
func withLargePrompts(r *replay) demand {
	d := demand{tokens: 400 + r.rnd.IntN(3000), weight: 0.1}
	if r.rnd.IntN(4) == 0 {
		d.tokens = 6000 + int(6000*r.rnd.ExpFloat64())
		d.part, d.shared = fmt.Sprintf("p%d", r.rnd.IntN(650)), 5000
	}
	if r.rnd.IntN(2) == 0 {
		d.weight = 1
	}
	return d
}

func playFewSlots(at site) (short, long time.Duration, moves int) {
	const share, rate, seeds = 0.95, 650.0, 2
	for seed := range uint64(seeds) {
		r := newReplay(seed, at, byWork)
		r.ranked = true
		r.arrivals(12*time.Second, func(time.Duration) float64 { return rate }, func(time.Duration) demand { return withLargePrompts(r) })
		from, to := 4*time.Second, 11*time.Second
		short += r.quantile(share, from, to, func(d demand) bool { return d.tokens < 4000 }) / seeds
		long += r.quantile(share, from, to, func(d demand) bool { return d.tokens >= 4000 }) / seeds
		moves += r.moves
	}
	return short, long, moves
}

// Many nodes send to many upstreams, each of which runs a dozen requests. A user
// asks something small and waits behind a prompt that another node has just sent
// to the same upstream, although most are idle: no node knows more than a
// hundredth of what is under way, and an upstream's own word comes too late.
func TestNodesTellEachOtherWhatIsUnderWay(t *testing.T) {
	told := fewSlots
	told.flights = 200 * time.Millisecond
	short, long, moves := playFewSlots(fewSlots)
	shortTold, longTold, movesTold := playFewSlots(told)
	t.Logf("p95 of short and long prompts %v and %v, told %v and %v; moved %d, told %d", short, long, shortTold, longTold, moves, movesTold)
	if float64(shortTold) > 0.8*float64(short) {
		t.Errorf("short prompts: %v against %v", shortTold, short)
	}
	if longTold > long {
		t.Errorf("long prompts: %v against %v", longTold, long)
	}
	if 2*movesTold > moves {
		t.Errorf("moved attempts: %d against %d", movesTold, moves)
	}
}

// What is told is the sum over all nodes, this one's own part left out; it counts
// for a few rounds, and then the upstreams' own words do again.
func TestOthersWorkIsWhatAllButThisNodeHave(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	here, there := some(3), some(3)
	w := AttemptSpec{Service: "s", Model: "m", Weight: 1, Tokens: 1000}
	own, other := here.Get("u0"), there.Get("u0")
	here.Begin(own, &w, now)
	there.Begin(other, &w, now)
	begun := there.Begin(other, &w, now)
	there.Started(other, begun, now)
	sent := here.Flight()
	all := Sum(sent, there.Flight(), Flight{})
	here.Begin(own, &w, now) // since it was told

	here.Report(here.Get("u1"), 8, 0, now)
	here.TakeFlight(all, sent, now)
	is.Equal(own.load(now), 4.0/8)                 // two own and two of the other node's
	is.Equal(own.waitingWork(0, now), 3000.0)      // one of which has begun
	is.Equal(here.Get("u1").load(now), 0.0)        // nobody has work there
	late := now.Add(flightFresh + time.Nanosecond) // no news for several rounds
	is.Equal(own.load(late), 2.0/8)
	is.True(here.Get("u1").load(late) > 0) // its own word

	again := record("u0")
	again.Born = 7
	here.Put(again, now)
	here.TakeFlight(all, sent, now)
	is.Equal(here.Get("u0").load(now), 0.0) // what runs at the old start is not here
}

// A peer's lists differ in length, or it no longer tells what this node sent: no
// more than there is counts.
func TestUnsoundFlightsCountForNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := some(1)
	w := AttemptSpec{Service: "s"}
	f.Begin(f.Get("u0"), &w, now)
	sent := f.Flight()
	f.TakeFlight(Flight{Keys: sent.Keys}, sent, now)
	is.Equal(f.Get("u0").load(now), 1.0/8)
	is.Equal(Sum(Flight{Keys: []uint32{1, 2}, Counts: []uint16{1}, Work: []uint32{1, 2}}).Keys, []uint32{1})
}
