package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// testWarmUp is the warm-up of a service with a rate of 7.6 requests per second and a bound
// of 1.5 times that plus 5.
var testWarmUp = WarmUp{Duration: 3 * time.Second, Rate: 7.6, MaxPerSecond: 16.4}

// newWarmUpNodes returns nodes that know one upstream, which warms up.
func newWarmUpNodes(count int, w WarmUp, now time.Time) (nodes []*Fleet, ids []string) {
	for i := range count {
		ids = append(ids, fmt.Sprintf("n%02d", i))
	}
	for _, id := range ids {
		f := New(Settings{Domain: "d0"})
		f.SetWarmUp("s", w)
		f.SetSenders(id, ids)
		cold := testRecord("cold")
		cold.Cold = w.Duration
		f.Put(cold, now)
		nodes = append(nodes, f)
	}
	return nodes, ids
}

// maxPerSecond returns the maximum number of the times that lie within any second.
func maxPerSecond(sent []time.Time) (peak int) {
	slices.SortFunc(sent, time.Time.Compare)
	for i, first := range sent {
		n := 0
		for n+i < len(sent) && sent[i+n].Sub(first) < time.Second {
			n++
		}
		peak = max(peak, n)
	}
	return peak
}

// Nodes that each send little to an upstream which warms up also stay within its bound
// together. Bursts come at arbitrary times, and some nodes do not know yet that others
// have joined.
func TestWarmUpBoundHoldsAcrossNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		w := testWarmUp
		w.Rate = rapid.Float64Range(1, 30).Draw(t, "rate")
		w.MaxPerSecond = w.Rate*1.5 + 5
		count := rapid.IntRange(1, 40).Draw(t, "nodes")
		nodes, ids := newWarmUpNodes(count, w, start)
		outdated := rapid.IntRange(0, min(count-1, 1)).Draw(t, "some do not know the last node")
		for i, f := range nodes[:outdated*(count-1)] {
			f.SetSenders(ids[i], ids[:count-1])
		}
		var sent []time.Time
		now := start
		for now.Before(start.Add(w.Duration)) {
			for _, f := range nodes {
				for range rapid.IntRange(0, 3).Draw(t, "attempts") {
					spec := AttemptSpec{Service: "s", Seed: uint64(len(sent))}
					if u := f.Choose(spec, now); u != nil {
						f.Begin(u, &spec, now)
						sent = append(sent, now)
					}
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond)
		}
		if peak := maxPerSecond(sent); float64(peak) > w.MaxPerSecond {
			t.Fatalf("%d requests arrive within a second, the bound is %.1f", peak, w.MaxPerSecond)
		}
	})
}

// Fails if upstreams get far fewer requests during their warm-up than they accept.
func TestWarmUpRateIsUsed(t *testing.T) {
	start := time.Unix(1000, 0)
	nodes, _ := newWarmUpNodes(84, testWarmUp, start)
	sent := 0
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for _, f := range nodes {
			spec := AttemptSpec{Service: "s", Seed: uint64(sent)}
			if u := f.Choose(spec, now); u != nil {
				f.Begin(u, &spec, now)
				sent++
			}
		}
	}
	if got := float64(sent) / 3; got < 0.9*testWarmUp.Rate {
		t.Errorf("%.1f requests per second are sent to an upstream that accepts %.1f/s", got, testWarmUp.Rate)
	}
}

// Fails if nodes that start together each assume that they are the only one.
func TestNodeWithoutSenderListSendsNothingDuringWarmUp(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	nodes, _ := newWarmUpNodes(1, testWarmUp, now)
	nodes[0].SetSenders("n00", nil)
	is.Equal(nodes[0].Choose(AttemptSpec{Service: "s"}, now), nil)
	is.True(nodes[0].Choose(AttemptSpec{Service: "s"}, now.Add(testWarmUp.Duration)) != nil) // the warm-up is over
}

// A warm-up ends, the delay of a relayed record does not extend it, and a new one is
// noticed.
func TestWarmUpEndsAndCanBeginAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f, peer := New(Settings{}), New(Settings{})
	r := testRecord("u")
	r.Cold = 3 * time.Second
	f.Put(r, now)
	relayed := f.Records(now.Add(2 * time.Second))
	peer.Put(relayed[0], now.Add(2*time.Second))
	is.True(peer.Get("u").warmingUp(now.Add(2900 * time.Millisecond)))
	is.True(!peer.Get("u").warmingUp(now.Add(3100 * time.Millisecond)))
	is.Equal(f.Hash(), peer.Hash()) // both know the same record
	r.Cold = 0
	f.Put(r, now.Add(4*time.Second))
	is.True(f.Hash() != peer.Hash()) // the peer has to be updated
	r.Cold = 3 * time.Second
	is.True(f.Put(r, now.Add(9*time.Second)))
	is.True(f.Get("u").warmingUp(now.Add(10 * time.Second)))
}

// Without a warm-up, the upstreams of a failure domain whose evacuation has ended get a
// burst: nothing runs there, so that each looks better than all others.
func TestDomainWarmsUpAfterItsEvacuation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := newTestFleet(3)
	f.SetWarmUp("s", testWarmUp)
	f.SetSenders("n", []string{"n"})
	f.SetEvacuated("d0", true, now)
	is.Equal(f.Choose(AttemptSpec{Service: "s"}, now), nil)
	is.Equal(f.FullyEvacuatedServices(now), []string{"s"})
	f.SetEvacuated("d0", false, now)
	is.True(f.Get("u0").warmingUp(now.Add(2 * time.Second)))
	is.True(!f.Get("u0").warmingUp(now.Add(4 * time.Second)))
	is.True(f.Choose(AttemptSpec{Service: "s"}, now) != nil)
}

// Upstreams that are listed, or newly listed, in a domain under evacuation get no new
// work.
func TestUpstreamsOfAnEvacuatedDomainAreNotChosen(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := newTestFleet(1)
	f.SetEvacuated("d1", true, now)
	r := testRecord("new")
	r.Domain = "d1"
	f.Put(r, now)
	for seed := range uint64(50) {
		is.Equal(f.Choose(AttemptSpec{Service: "s", Seed: seed}, now).ID, "u0")
	}
}

// Requests run only in the regions that their route and organisation allow.
func TestChooseKeepsToAllowedRegions(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := New(Settings{Domain: "d0", Regions: map[string]string{"d0": "north", "d1": "south"}})
	f.Put(testRecord("u-north"), now)
	r := testRecord("u-south")
	r.Domain = "d1"
	f.Put(r, now)
	for seed := range uint64(50) {
		is.Equal(f.Choose(AttemptSpec{Service: "s", Regions: []string{"south"}, Seed: seed}, now).ID, "u-south")
	}
	is.Equal(f.Choose(AttemptSpec{Service: "s", Regions: []string{}}, now), nil)
	is.True(f.Choose(AttemptSpec{Service: "s"}, now) != nil)
}
