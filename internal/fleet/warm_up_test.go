package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// usualWarmUp is what an engine bears whose service has a rate of 7.6, with a bound of
// 1.5 times that and 5.
var usualWarmUp = WarmUp{Time: 3 * time.Second, Rate: 7.6, Most: 16.4}

// warmUpNodes are nodes that know an upstream which warms up and one that does not.
func warmUpNodes(count int, w WarmUp, now time.Time) (nodes []*Fleet, ids []string) {
	for i := range count {
		ids = append(ids, fmt.Sprintf("n%02d", i))
	}
	for _, id := range ids {
		f := New(Settings{Domain: "d0"})
		f.SetWarmUp("s", w)
		f.SetSenders(id, ids)
		cold := record("cold")
		cold.Cold = w.Time
		f.Put(cold, now)
		nodes = append(nodes, f)
	}
	return nodes, ids
}

// within returns the most of some times that lie within any second.
func within(sent []time.Time) (most int) {
	slices.SortFunc(sent, time.Time.Compare)
	for i, first := range sent {
		n := 0
		for n+i < len(sent) && sent[i+n].Sub(first) < time.Second {
			n++
		}
		most = max(most, n)
	}
	return most
}

// TestWarmUpBoundHoldsOverAllNodes guards against nodes that each send little to an
// upstream which warms up, and all together too much: they see bursts at any moments, some
// have not heard yet that others have joined, and some start again.
func TestWarmUpBoundHoldsOverAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		w := usualWarmUp
		w.Rate = rapid.Float64Range(1, 30).Draw(t, "rate")
		w.Most = w.Rate*1.5 + 5
		count := rapid.IntRange(1, 40).Draw(t, "nodes")
		nodes, ids := warmUpNodes(count, w, start)
		stale := rapid.IntRange(0, min(count-1, 1)).Draw(t, "have not heard of the last one")
		for i, f := range nodes[:stale*(count-1)] {
			f.SetSenders(ids[i], ids[:count-1])
		}
		var sent []time.Time
		now := start
		for now.Before(start.Add(w.Time)) {
			for _, f := range nodes {
				for range rapid.IntRange(0, 3).Draw(t, "attempts") {
					want := AttemptSpec{Service: "s", Seed: uint64(len(sent))}
					if u := f.Choose(want, now); u != nil {
						f.Begin(u, &want, now)
						sent = append(sent, now)
					}
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond)
		}
		if most := within(sent); float64(most) > w.Most {
			t.Fatalf("%d arrive within a second, %.1f may", most, w.Most)
		}
	})
}

// TestRateOfAColdUpstreamIsUsed guards against upstreams that starve while they warm up.
func TestRateOfAColdUpstreamIsUsed(t *testing.T) {
	start := time.Unix(1000, 0)
	nodes, _ := warmUpNodes(84, usualWarmUp, start)
	sent := 0
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for _, f := range nodes {
			want := AttemptSpec{Service: "s", Seed: uint64(sent)}
			if u := f.Choose(want, now); u != nil {
				f.Begin(u, &want, now)
				sent++
			}
		}
	}
	if got := float64(sent) / 3; got < 0.9*usualWarmUp.Rate {
		t.Errorf("%.1f a second are sent to an upstream that bears %.1f", got, usualWarmUp.Rate)
	}
}

// TestNodeThatHasJustStartedSendsNothingToColdUpstreams guards against nodes that all start
// together and each take themselves for the only one.
func TestNodeThatHasJustStartedSendsNothingToColdUpstreams(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	nodes, _ := warmUpNodes(1, usualWarmUp, now)
	nodes[0].SetSenders("n00", nil)
	is.Equal(nodes[0].Choose(AttemptSpec{Service: "s"}, now), nil)
	is.True(nodes[0].Choose(AttemptSpec{Service: "s"}, now.Add(usualWarmUp.Time)) != nil) // it is warm
}

// TestColdnessRunsOutAndComesAgain guards against an upstream that counts as cold for good,
// or for as long as the word on it travels, and against one that turns cold unnoticed.
func TestColdnessRunsOutAndComesAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f, peer := New(Settings{}), New(Settings{})
	r := record("u")
	r.Cold = 3 * time.Second
	f.Put(r, now)
	told := f.Records(now.Add(2 * time.Second))
	peer.Put(told[0], now.Add(2*time.Second))
	is.True(peer.Get("u").cold(now.Add(2900 * time.Millisecond)))
	is.True(!peer.Get("u").cold(now.Add(3100 * time.Millisecond)))
	is.Equal(f.Hash(), peer.Hash()) // both know the same entry
	r.Cold = 0
	f.Put(r, now.Add(4*time.Second))
	is.True(f.Hash() != peer.Hash()) // the peer has to be told
	r.Cold = 3 * time.Second
	is.True(f.Put(r, now.Add(9*time.Second)))
	is.True(f.Get("u").cold(now.Add(10 * time.Second)))
}

// TestDomainThatReturnsWarmsUp guards against a burst at upstreams of a failure domain whose
// evacuation has ended: nothing runs there, and each looks better than all others.
func TestDomainThatReturnsWarmsUp(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := some(3)
	f.SetWarmUp("s", usualWarmUp)
	f.SetSenders("n", []string{"n"})
	f.SetEvacuated("d0", true, now)
	is.Equal(f.Choose(AttemptSpec{Service: "s"}, now), nil)
	is.Equal(f.Stranded(now), []string{"s"})
	f.SetEvacuated("d0", false, now)
	is.True(f.Get("u0").cold(now.Add(2 * time.Second)))
	is.True(!f.Get("u0").cold(now.Add(4 * time.Second)))
	is.True(f.Choose(AttemptSpec{Service: "s"}, now) != nil)
}

// TestUpstreamsOfAnEvacuatedDomainAreNotChosen guards against new work for upstreams that
// are listed, or listed anew, in a domain under evacuation.
func TestUpstreamsOfAnEvacuatedDomainAreNotChosen(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := some(1)
	f.SetEvacuated("d1", true, now)
	r := record("new")
	r.Domain = "d1"
	f.Put(r, now)
	for seed := range uint64(50) {
		is.Equal(f.Choose(AttemptSpec{Service: "s", Seed: seed}, now).ID, "u0")
	}
}

// TestRegionsBind guards against requests that run outside of the regions that their route
// and organisation allow.
func TestRegionsBind(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := New(Settings{Domain: "d0", Regions: map[string]string{"d0": "north", "d1": "south"}})
	f.Put(record("u-north"), now)
	r := record("u-south")
	r.Domain = "d1"
	f.Put(r, now)
	for seed := range uint64(50) {
		is.Equal(f.Choose(AttemptSpec{Service: "s", Regions: []string{"south"}, Seed: seed}, now).ID, "u-south")
	}
	is.Equal(f.Choose(AttemptSpec{Service: "s", Regions: []string{}}, now), nil)
	is.True(f.Choose(AttemptSpec{Service: "s"}, now) != nil)
}
