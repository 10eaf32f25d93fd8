package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rateFleet simulates nodes with their limiters and holders, and a network that loses,
// delays and repeats messages.
type rateFleet struct {
	random    *rand.Rand
	now       time.Duration
	ids       []string
	limiters  []*RateLimiter
	holders   map[string]*RateHolder
	lossRate  float64
	cut       map[string]bool
	inTransit []rateMessage
}

// rateMessage is a message in transit.
type rateMessage struct {
	arrivesAt time.Duration
	summary   *Summary
	grant     *Grant
	to        int // the node that gets the grant
}

func newRateFleet(seed uint64, nodes int, limit float64) *rateFleet {
	f := &rateFleet{random: rand.New(rand.NewPCG(seed, 0)), holders: map[string]*RateHolder{}, cut: map[string]bool{}}
	for i := range nodes {
		f.ids = append(f.ids, fmt.Sprintf("node-%d", i))
	}
	limits := []Limit{{Org: "org", PerSecond: limit}}
	for _, id := range f.ids {
		l := NewRateLimiter(RateSettings{Self: id})
		l.SetLimits(limits, epoch)
		l.SetNodes(f.ids, epoch)
		f.limiters = append(f.limiters, l)
		h := NewRateHolder(RateSettings{Self: id})
		h.SetLimits(limits, epoch)
		f.holders[id] = h
	}
	return f
}

func (f *rateFleet) time() time.Time { return epoch.Add(f.now) }

func (f *rateFleet) send(m rateMessage) {
	if f.random.Float64() < f.lossRate {
		return
	}
	for range 1 + f.random.IntN(2) {
		m.arrivesAt = f.now + time.Duration(f.random.IntN(3000))*time.Millisecond*time.Duration(f.random.IntN(2))
		f.inTransit = append(f.inTransit, m)
	}
}

func (f *rateFleet) step(d time.Duration) {
	f.now += d
	for i, l := range f.limiters {
		if l.stopped() {
			continue
		}
		for _, s := range l.Summaries(f.time()) {
			if !f.cut[f.ids[i]] {
				f.send(rateMessage{summary: &s, to: i})
			}
		}
	}
	due := f.inTransit
	f.inTransit = nil
	for _, m := range due {
		switch {
		case m.arrivesAt > f.now:
			f.inTransit = append(f.inTransit, m)
		case m.summary != nil:
			g := f.holders[m.summary.To].HandleSummary(*m.summary, f.time())
			f.send(rateMessage{grant: &g, to: m.to})
		case !f.cut[f.ids[m.to]] && !f.limiters[m.to].stopped():
			f.limiters[m.to].ApplyGrant(*m.grant, f.time())
		}
	}
}

// allow offers a request at a node and returns 1 if it passes.
func (f *rateFleet) allow(node int) int {
	if f.limiters[node].stopped() {
		return 0
	}
	if _, ok := f.limiters[node].Allow("org", f.time()); ok {
		return 1
	}
	return 0
}

// totalRate returns the sum of what the nodes may use now.
func (f *rateFleet) totalRate() float64 {
	var sum float64
	for _, l := range f.limiters {
		if !l.stopped() {
			sum += l.rate(l.orgs["org"], l.since(f.time()))
		}
	}
	return sum
}

// stopped reports whether the test has replaced the node.
func (l *RateLimiter) stopped() bool { return l.nodes == nil }

// replace stops one node and removes it from the others' lists, so that holders change.
func (f *rateFleet) replace(node int) {
	var remaining []string
	for i, l := range f.limiters {
		if i != node && !l.stopped() {
			remaining = append(remaining, f.ids[i])
		}
	}
	f.limiters[node].nodes = nil
	f.cut[f.ids[node]] = true
	for _, l := range f.limiters {
		if !l.stopped() {
			l.SetNodes(remaining, f.time())
		}
	}
}

// Nodes together stay within an organisation's limit. The organisation sends far more
// than its limit to changing nodes, while messages are lost, delayed and repeated, and
// nodes are cut off and replaced. The allowed rates never exceed the limit, and what
// passes stays within the limit and its bursts.
func TestOrganisationLimitHoldsAcrossNodes(t *testing.T) {
	for seed := range uint64(200) {
		const nodes, limit, seconds = 6, 50.0, 60
		f := newRateFleet(seed, nodes, limit)
		f.lossRate = f.random.Float64() * 0.6
		passed := 0
		hot := 0
		for f.now < seconds*time.Second {
			f.step(20 * time.Millisecond)
			if f.random.IntN(100) == 0 {
				hot = f.random.IntN(nodes)
			}
			if f.random.IntN(200) == 0 {
				id := f.ids[f.random.IntN(nodes)]
				f.cut[id] = !f.cut[id]
			}
			if f.random.IntN(1500) == 0 {
				f.replace(f.random.IntN(nodes / 2))
			}
			for range 10 {
				passed += f.allow(hot)
			}
			passed += f.allow(f.random.IntN(nodes))
			if sum := f.totalRate(); sum > limit*1.000001 {
				t.Fatalf("seed %d at %v: the nodes may use %v in total, want at most %v", seed, f.now, sum, limit)
			}
		}
		most := limit*seconds + limit*defaultBurstDuration.Seconds() + nodes
		if float64(passed) > most {
			t.Fatalf("seed %d: %d requests passed, want at most %v", seed, passed, most)
		}
	}
}

// Fails if an organisation that uses a single node gets far less than its limit there, or
// does not get it within seconds after moving to another node.
func TestSingleNodeReachesLimit(t *testing.T) {
	is := is.New(t)
	const limit = 100.0
	f := newRateFleet(1, 6, limit)
	run := func(node int, seconds time.Duration) float64 {
		passed := 0
		end := f.now + seconds*time.Second
		for f.now < end {
			f.step(5 * time.Millisecond)
			passed += f.allow(node)
		}
		return float64(passed) / float64(seconds)
	}
	run(0, 15)
	is.True(run(0, 10) > 0.88*limit) // the other five nodes' reserve is 0.083 of the limit
	run(3, 15)
	is.True(run(3, 10) > 0.88*limit)
}

// Fails if a node without messages refuses all requests, or uses more than its reserve.
func TestCutOffNodeKeepsItsReserve(t *testing.T) {
	is := is.New(t)
	const limit = 100.0
	f := newRateFleet(1, 5, limit)
	f.cut["node-0"] = true
	passed := 0
	for f.now < 50*time.Second {
		f.step(5 * time.Millisecond)
		passed += f.allow(0)
	}
	reserve := limit * defaultRateReserve / 5 * 50
	is.True(float64(passed) >= reserve-1)
	is.True(float64(passed) <= reserve+limit*defaultBurstDuration.Seconds()/5+1)
}
