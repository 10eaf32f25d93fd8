package admission

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// domainFleet simulates nodes in failure domains, each with a limiter, a collector and a
// holder, and a network that can lose and delay messages.
type domainFleet struct {
	random      *rand.Rand
	now         time.Duration
	nodes       []*domainNode
	byID        map[string]*domainNode
	orgs        []Limit
	lossRate    float64
	maxDelay    time.Duration
	inTransit   []domainMessage
	counting    bool
	partitioned map[[2]*domainNode]bool // pairs that cannot exchange messages
	sizes       map[string]int          // message sizes in bytes, by kind and entries
}

type domainNode struct {
	id, domain string
	limiter    *RateLimiter
	collector  *RateCollector
	holder     *RateHolder
	cut        bool
	paused     bool
	lost       bool
	messages   int // sent and received while counting
	bytes      int
}

// domainMessage is a message in transit.
type domainMessage struct {
	arrivesAt time.Duration
	from, to  *domainNode
	deliver   func()
}

func newDomainFleet(seed uint64, nodes, domains, direct int, orgs []Limit) *domainFleet {
	f := &domainFleet{random: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*domainNode{}, partitioned: map[[2]*domainNode]bool{}, sizes: map[string]int{}, orgs: orgs}
	for i := range nodes {
		n := &domainNode{id: fmt.Sprintf("entry-%05d", i), domain: fmt.Sprint(i % domains)}
		f.nodes = append(f.nodes, n)
		f.byID[n.id] = n
		f.start(n, direct)
	}
	f.setAllLists(f.nodes)
	return f
}

func (f *domainFleet) start(n *domainNode, direct int) {
	s := RateSettings{Self: n.id, MaxDirectNodes: direct}
	n.limiter, n.collector, n.holder = NewRateLimiter(s), NewRateCollector(s), NewRateHolder(s)
	n.limiter.SetLimits(f.orgs, f.time())
	n.collector.SetLimits(f.orgs, f.time())
	n.holder.SetLimits(f.orgs, f.time())
}

// setAllLists sets the list of entry nodes at all nodes.
func (f *domainFleet) setAllLists(list []*domainNode) {
	for _, n := range f.nodes {
		f.setList(n, list)
	}
}

func (f *domainFleet) setList(n *domainNode, list []*domainNode) {
	var all, own []string
	for _, o := range list {
		all = append(all, o.id)
		if o.domain == n.domain {
			own = append(own, o.id)
		}
	}
	n.limiter.SetNodes(all, f.time())
	n.limiter.SetDomain(own)
	n.collector.SetNodes(all)
}

func (f *domainFleet) time() time.Time { return epoch.Add(f.now) }

// messageSize returns the bytes of a message on an existing gob connection, including 66
// bytes of packet headers.
func (f *domainFleet) messageSize(v any) int {
	key := "grant"
	n := 0
	switch m := v.(type) {
	case Summary:
		key, n = fmt.Sprint("summary", m.Collect), len(m.Demands)
	case Grant:
		n = len(m.Shares)
	}
	key += fmt.Sprint(" ", n)
	if f.sizes[key] == 0 {
		f.sizes[key] = gobSize(v)
	}
	return f.sizes[key]
}

func gobSize(v any) int {
	const headers = 66
	var b bytes.Buffer
	e := gob.NewEncoder(&b)
	_ = e.Encode(v)
	withTypes := b.Len()
	_ = e.Encode(v)
	return b.Len() - withTypes + headers
}

func (f *domainFleet) send(from, to *domainNode, v any, deliver func()) {
	if from != to && f.counting {
		size := f.messageSize(v)
		for _, n := range []*domainNode{from, to} {
			n.messages++
			n.bytes += size
		}
	}
	if from != to && (from.cut || to.cut || f.partitioned[[2]*domainNode{from, to}] || f.partitioned[[2]*domainNode{to, from}] || f.random.Float64() < f.lossRate) {
		return
	}
	m := domainMessage{arrivesAt: f.now, from: from, to: to, deliver: deliver}
	if from != to && f.maxDelay > 0 {
		m.arrivesAt += time.Duration(f.random.Int64N(int64(f.maxDelay)))
	}
	f.inTransit = append(f.inTransit, m)
}

func (f *domainFleet) step(d time.Duration) {
	f.now += d
	for _, n := range f.nodes {
		if !n.paused {
			f.sendSummaries(n)
		}
	}
	for range 4 { // a message, its answer, and both again at the second level
		due := f.inTransit
		f.inTransit = nil
		for _, m := range due {
			if m.arrivesAt > f.now || m.to.paused {
				f.inTransit = append(f.inTransit, m)
				continue
			}
			m.deliver()
		}
	}
}

func (f *domainFleet) sendSummaries(n *domainNode) {
	l, c := n.limiter, n.collector
	for _, s := range l.Summaries(f.time()) {
		to := f.byID[s.To]
		f.send(n, to, s, func() {
			var g Grant
			if s.Collect {
				g = to.collector.HandleSummary(s, f.time())
			} else {
				g = to.holder.HandleSummary(s, f.time())
			}
			f.send(to, n, g, func() { l.ApplyGrant(g, f.time()) })
		})
	}
	for _, s := range c.Summaries(f.time()) {
		to := f.byID[s.To]
		f.send(n, to, s, func() {
			g := to.holder.HandleSummary(s, f.time())
			f.send(to, n, g, func() { c.ApplyGrant(g) })
		})
	}
}

// offerRequests offers perSecond requests at a node for one step and returns how many
// passed.
func (f *domainFleet) offerRequests(n *domainNode, org string, perSecond float64, step time.Duration) int {
	passed := 0
	want := perSecond * step.Seconds()
	requests := int(want)
	if f.random.Float64() < want-float64(requests) {
		requests++
	}
	for range requests {
		if _, ok := n.limiter.Allow(org, f.time()); ok {
			passed++
		}
	}
	return passed
}

// totalRate returns what all nodes together may use of an organisation's limit.
func (f *domainFleet) totalRate(org string) float64 {
	var sum float64
	for _, n := range f.nodes {
		if n.lost {
			continue
		}
		sum += n.limiter.rate(n.limiter.orgs[org], n.limiter.since(f.time()))
	}
	return sum
}

// A large organisation stays within its limit. Messages are lost and delayed, nodes of a
// domain use different collectors, and collectors and nodes are paused, cut off or
// restarted without their state. At no step may all nodes together use more than the
// limit.
func TestLimitHoldsAcrossDomains(t *testing.T) {
	const nodes, domains, limit, step = 27, 3, 60.0, 100 * time.Millisecond
	for seed := range uint64(100) {
		f := newDomainFleet(seed, nodes, domains, 4, []Limit{{Org: "org", PerSecond: limit}})
		f.lossRate = f.random.Float64() * 0.4
		f.maxDelay = time.Duration(1+f.random.IntN(2000)) * time.Millisecond
		hot := f.nodes[0]
		for f.now < 90*time.Second {
			f.injectFault()
			if f.random.IntN(60) == 0 {
				hot = f.nodes[f.random.IntN(nodes)]
			}
			f.step(step)
			f.offerRequests(hot, "org", 200, step)
			f.offerRequests(f.nodes[f.random.IntN(nodes)], "org", 100, step)
			if sum := f.totalRate("org"); sum > limit*1.000001 {
				t.Fatalf("seed %d at %v: the nodes may use %v in total, want at most %v", seed, f.now, sum, limit)
			}
		}
	}
}

// injectFault occasionally injects a random fault that the limit must withstand.
func (f *domainFleet) injectFault() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	switch f.random.IntN(150) {
	case 0, 1:
		n.cut = !n.cut
	case 2, 3:
		n.paused = !n.paused
	case 4: // uses collectors in another order than the others
		own := slices.Clone(n.limiter.route.collectors)
		slices.Reverse(own)
		n.limiter.route.collectors = own
	case 5, 6: // restarts the collector without its state
		n.collector = NewRateCollector(n.collector.settings)
		n.collector.SetLimits(f.orgs, f.time())
		f.setList(n, f.remaining())
	case 7, 8, 9: // separates its collector from the holder, or reconnects them
		pair := [2]*domainNode{f.byID[n.limiter.route.collectors[0]], f.holderOf("org")}
		f.partitioned[pair] = !f.partitioned[pair]
	case 10: // stops the node and removes it from the lists
		if len(f.remaining()) > 20 {
			n.lost, n.cut, n.paused = true, true, true
			f.setAllLists(f.remaining())
		}
	}
}

func (f *domainFleet) holderOf(org string) *domainNode {
	var ids []string
	for _, n := range f.remaining() {
		ids = append(ids, n.id)
	}
	return f.byID[HolderOf(org, ids)]
}

func (f *domainFleet) remaining() []*domainNode {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *domainNode) bool { return n.lost })
}

// The limit holds again after nodes have disagreed on the holder. The nodes of one
// failure domain choose another holder, because their lists lack the first. While the
// lists differ, up to twice the limit may pass, with and without collectors. Once they
// agree, the limit must hold as soon as the grants of that time have expired.
func TestTwoHoldersUntilListsAgree(t *testing.T) {
	const limit, step = 60.0, 100 * time.Millisecond
	for _, direct := range []int{4, noCollectors} {
		is := is.New(t)
		f := newDomainFleet(1, 27, 3, direct, []Limit{{Org: "org", PerSecond: limit}})
		run := func(d time.Duration) (most float64) {
			for end := f.now + d; f.now < end; {
				f.step(step)
				for _, n := range f.nodes {
					f.offerRequests(n, "org", 20, step)
				}
				most = max(most, f.totalRate("org"))
			}
			return most
		}
		is.True(run(20*time.Second) <= limit*1.000001)
		holder := f.holderOf("org")
		rest := slices.DeleteFunc(slices.Clone(f.nodes), func(n *domainNode) bool { return n == holder })
		for _, n := range f.nodes {
			if n.domain == "0" && n != holder {
				f.setList(n, rest)
			}
		}
		first := run(defaultGrantDuration - time.Second) // the second holder only renews
		is.True(first <= limit*1.01)
		most := run(20 * time.Second)
		is.True(most <= 2*limit)
		f.setAllLists(f.nodes)
		run(2 * defaultGrantDuration)
		is.True(run(20*time.Second) <= limit*1.000001)
		t.Logf("direct up to %d: %.3f of the limit at first, %.3f while lists differ", direct, first/limit, most/limit)
	}
}

// Without a replacement, a domain is limited to its reserves while its collector hangs.
// The process does not answer but stays in the list. The next collector in rank must get
// the domain its share.
func TestPausedCollectorIsReplaced(t *testing.T) {
	is := is.New(t)
	const limit, step = 100.0, 50 * time.Millisecond
	f := newDomainFleet(1, 27, 3, 4, []Limit{{Org: "org", PerSecond: limit}})
	f.byID[f.nodes[0].limiter.route.collectors[0]].paused = true
	hot := f.nodes[0]
	if hot.paused {
		hot = f.nodes[3]
	}
	run := func(d time.Duration) float64 {
		passed, end := 0, f.now+d
		for f.now < end {
			f.step(step)
			passed += f.offerRequests(hot, "org", 3*limit, step)
		}
		return float64(passed) / d.Seconds()
	}
	run(20 * time.Second)
	is.True(run(20*time.Second) > 0.85*limit)
}

// A collector that reaches its nodes but not the holder stops renewing shares once they
// expire, because the holder then grants them to others. Otherwise the sum of both would
// pass. Its nodes must fall back to their reserves, and the others get the rest.
func TestCollectorCutOffFromHolder(t *testing.T) {
	is := is.New(t)
	const limit, step = 100.0, 50 * time.Millisecond
	f := newDomainFleet(1, 27, 3, 4, []Limit{{Org: "org", PerSecond: limit}})
	holder := f.holderOf("org")
	near, far := f.nodes[0], f.nodes[1]
	for _, id := range near.limiter.route.collectors {
		f.partitioned[[2]*domainNode{f.byID[id], holder}] = true
	}
	cut := f.partitioned
	f.partitioned = nil
	rate := func(n *domainNode) float64 { return n.limiter.rate(n.limiter.orgs["org"], n.limiter.since(f.time())) }
	run := func(d time.Duration, hot ...*domainNode) {
		for end := f.now + d; f.now < end; {
			f.step(step)
			for _, n := range hot {
				f.offerRequests(n, "org", 300, step)
			}
			is.True(f.totalRate("org") <= limit*1.000001)
		}
	}
	run(20*time.Second, near)
	is.True(rate(near) > 0.85*limit)
	f.partitioned = cut
	run(defaultGrantDuration+defaultRenewPeriod, near, far)
	is.True(rate(near) < 0.01*limit)
	run(nodeShareTTL+2*defaultRenewPeriod, near, far)
	is.True(rate(far) > 0.85*limit)
}

// The holder distinguishes a restarted collector from its previous process. One of its
// nodes is cut off and still holds the domain's whole share when another one bursts; both
// would otherwise use the limit at once.
func TestRestartedCollectorKeepsLimit(t *testing.T) {
	is := is.New(t)
	const limit, step = 100.0, 50 * time.Millisecond
	f := newDomainFleet(1, 27, 3, 4, []Limit{{Org: "org", PerSecond: limit}})
	first := f.byID[f.nodes[0].limiter.route.collectors[0]]
	own := slices.DeleteFunc(slices.Clone(f.nodes), func(n *domainNode) bool { return n.domain != "0" || n == first })
	run := func(d time.Duration, hot *domainNode) {
		for end := f.now + d; f.now < end; {
			f.step(step)
			f.offerRequests(hot, "org", 300, step)
			is.True(f.totalRate("org") <= limit*1.000001)
		}
	}
	run(20*time.Second, own[0])
	own[0].cut = true
	first.collector = NewRateCollector(first.collector.settings)
	first.collector.SetLimits(f.orgs, f.time())
	f.setList(first, f.nodes)
	run(20*time.Second, own[1])
	rate := own[1].limiter.rate(own[1].limiter.orgs["org"], own[1].limiter.since(f.time()))
	is.True(rate > 0.85*limit)
}

// A node that is cut off uses exactly what it may. It keeps its last share until that
// expires, and then exactly its reserve.
func TestCutOffNodeWithCollectorKeepsReserve(t *testing.T) {
	is := is.New(t)
	const limit, step = 100.0, 50 * time.Millisecond
	f := newDomainFleet(1, 27, 3, 4, []Limit{{Org: "org", PerSecond: limit}})
	n := f.nodes[0]
	if n.id == n.limiter.route.collectors[0] {
		n = f.nodes[3]
	}
	run := func(d time.Duration) {
		for end := f.now + d; f.now < end; {
			f.step(step)
			f.offerRequests(n, "org", 300, step)
		}
	}
	rate := func() float64 { return n.limiter.rate(n.limiter.orgs["org"], n.limiter.since(f.time())) }
	run(20 * time.Second)
	held := rate()
	is.True(held > 0.85*limit)
	n.cut = true
	run(2 * time.Second)
	is.True(rate() <= held)
	run(defaultGrantDuration)
	const reserve = limit * defaultRateReserve / 27
	is.True(rate() > 0.999*reserve && rate() < 1.001*reserve)
}
