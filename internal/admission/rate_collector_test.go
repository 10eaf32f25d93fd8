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

// domainFleet is nodes in failure domains, each with a limiter, a collector
// and a holder, and a network that may lose and delay messages.
type domainFleet struct {
	random *rand.Rand
	now    time.Duration
	nodes  []*domainNode
	byID   map[string]*domainNode
	orgs   []Limit
	loss   float64
	delay  time.Duration
	flying []domainFlight
	count  bool
	apart  map[[2]*domainNode]bool // pairs without a way between them
	sizes  map[string]int          // of messages, by kind and entries
}

type domainNode struct {
	id, domain string
	limiter    *RateLimiter
	collector  *RateCollector
	holder     *RateHolder
	cut        bool
	paused     bool
	lost       bool
	messages   int // sent and got, while counted
	bytes      int
}

// domainFlight is a message on its way.
type domainFlight struct {
	at       time.Duration
	from, to *domainNode
	deliver  func()
}

func newDomainFleet(seed uint64, nodes, domains, direct int, orgs []Limit) *domainFleet {
	f := &domainFleet{random: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*domainNode{}, apart: map[[2]*domainNode]bool{}, sizes: map[string]int{}, orgs: orgs}
	for i := range nodes {
		n := &domainNode{id: fmt.Sprintf("entry-%05d", i), domain: fmt.Sprint(i % domains)}
		f.nodes = append(f.nodes, n)
		f.byID[n.id] = n
		f.start(n, direct)
	}
	f.setLists(f.nodes)
	return f
}

func (f *domainFleet) start(n *domainNode, direct int) {
	s := RateSettings{Self: n.id, Direct: direct}
	n.limiter, n.collector, n.holder = NewRateLimiter(s), NewRateCollector(s), NewRateHolder(s)
	n.limiter.SetLimits(f.orgs, f.time())
	n.collector.SetLimits(f.orgs, f.time())
	n.holder.SetLimits(f.orgs, f.time())
}

// setLists gives all nodes the list of these.
func (f *domainFleet) setLists(list []*domainNode) {
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

// wire is what a message of so many entries takes on a kept gob connection, and
// 66 bytes of packet headers.
func (f *domainFleet) wire(v any) int {
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
	typed := b.Len()
	_ = e.Encode(v)
	return b.Len() - typed + headers
}

func (f *domainFleet) send(from, to *domainNode, v any, deliver func()) {
	if from != to && f.count {
		size := f.wire(v)
		for _, n := range []*domainNode{from, to} {
			n.messages++
			n.bytes += size
		}
	}
	if from != to && (from.cut || to.cut || f.apart[[2]*domainNode{from, to}] || f.apart[[2]*domainNode{to, from}] || f.random.Float64() < f.loss) {
		return
	}
	m := domainFlight{at: f.now, from: from, to: to, deliver: deliver}
	if from != to && f.delay > 0 {
		m.at += time.Duration(f.random.Int64N(int64(f.delay)))
	}
	f.flying = append(f.flying, m)
}

func (f *domainFleet) step(d time.Duration) {
	f.now += d
	for _, n := range f.nodes {
		if !n.paused {
			f.speak(n)
		}
	}
	for range 4 { // a message, its answer, and both at the second level
		due := f.flying
		f.flying = nil
		for _, m := range due {
			if m.at > f.now || m.to.paused {
				f.flying = append(f.flying, m)
				continue
			}
			m.deliver()
		}
	}
}

func (f *domainFleet) speak(n *domainNode) {
	l, c := n.limiter, n.collector
	for _, s := range l.Summaries(f.time()) {
		to := f.byID[s.To]
		f.send(n, to, s, func() {
			var g Grant
			if s.Collect {
				g = to.collector.Collect(s, f.time())
			} else {
				g = to.holder.Summarise(s, f.time())
			}
			f.send(to, n, g, func() { l.Granted(g, f.time()) })
		})
	}
	for _, s := range c.Summaries(f.time()) {
		to := f.byID[s.To]
		f.send(n, to, s, func() {
			g := to.holder.Summarise(s, f.time())
			f.send(to, n, g, func() { c.Granted(g) })
		})
	}
}

// offer lets a node be asked perSecond for the step's time, and returns how
// many passed.
func (f *domainFleet) offer(n *domainNode, org string, perSecond float64, step time.Duration) int {
	passed := 0
	want := perSecond * step.Seconds()
	times := int(want)
	if f.random.Float64() < want-float64(times) {
		times++
	}
	for range times {
		if _, ok := n.limiter.Allow(org, f.time()); ok {
			passed++
		}
	}
	return passed
}

// rates is what all nodes together may use of an organisation's limit.
func (f *domainFleet) rates(org string) float64 {
	var sum float64
	for _, n := range f.nodes {
		if n.lost {
			continue
		}
		sum += n.limiter.rate(n.limiter.orgs[org], n.limiter.since(f.time()))
	}
	return sum
}

// Callers of a large organisation are let through beyond its limit, or are
// refused far below it: messages are lost and late, nodes of a domain name two
// collectors, collectors and nodes are paused, cut off or start again without
// their memory. At no step may all nodes together use more than the limit.
func TestDomainsHoldTheLimit(t *testing.T) {
	const nodes, domains, limit, step = 27, 3, 60.0, 100 * time.Millisecond
	for seed := range uint64(100) {
		f := newDomainFleet(seed, nodes, domains, 4, []Limit{{Org: "org", PerSecond: limit}})
		f.loss = f.random.Float64() * 0.4
		f.delay = time.Duration(1+f.random.IntN(2000)) * time.Millisecond
		hot := f.nodes[0]
		for f.now < 90*time.Second {
			f.fault()
			if f.random.IntN(60) == 0 {
				hot = f.nodes[f.random.IntN(nodes)]
			}
			f.step(step)
			f.offer(hot, "org", 200, step)
			f.offer(f.nodes[f.random.IntN(nodes)], "org", 100, step)
			if sum := f.rates("org"); sum > limit*1.000001 {
				t.Fatalf("seed %d at %v: nodes may use %v together, the limit is %v", seed, f.now, sum, limit)
			}
		}
	}
}

// fault brings one of the faults that the limit must outlast, now and then.
func (f *domainFleet) fault() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	switch f.random.IntN(150) {
	case 0, 1:
		n.cut = !n.cut
	case 2, 3:
		n.paused = !n.paused
	case 4: // it names other collectors than the rest
		own := slices.Clone(n.limiter.domain.collectors)
		slices.Reverse(own)
		n.limiter.domain.collectors = own
	case 5, 6: // starts again: what it collected is forgotten
		n.collector = NewRateCollector(n.collector.settings)
		n.collector.SetLimits(f.orgs, f.time())
		f.setList(n, f.left())
	case 7, 8, 9: // its collector and the holder lose each other, or find again
		way := [2]*domainNode{f.byID[n.limiter.domain.collectors[0]], f.holderOf("org")}
		f.apart[way] = !f.apart[way]
	case 10: // is lost, and leaves the lists
		if len(f.left()) > 20 {
			n.lost, n.cut, n.paused = true, true, true
			f.setLists(f.left())
		}
	}
}

func (f *domainFleet) holderOf(org string) *domainNode {
	var ids []string
	for _, n := range f.left() {
		ids = append(ids, n.id)
	}
	return f.byID[HolderOf(org, ids)]
}

func (f *domainFleet) left() []*domainNode {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(n *domainNode) bool { return n.lost })
}

// The nodes of a failure domain take another node for an organisation's holder, as their
// lists lack the first. Callers get up to twice the limit as long as the lists
// differ, as with direct ways; when they agree it must hold again at once the
// grants of that time have run out.
func TestTwoHoldersUntilListsAgree(t *testing.T) {
	const limit, step = 60.0, 100 * time.Millisecond
	for _, direct := range []int{4, noCollectors} {
		is := is.New(t)
		f := newDomainFleet(1, 27, 3, direct, []Limit{{Org: "org", PerSecond: limit}})
		run := func(d time.Duration) (most float64) {
			for end := f.now + d; f.now < end; {
				f.step(step)
				for _, n := range f.nodes {
					f.offer(n, "org", 20, step)
				}
				most = max(most, f.rates("org"))
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
		within := run(defaultGrantFor - time.Second) // the second only renews
		is.True(within <= limit*1.01)
		most := run(20 * time.Second)
		is.True(most <= 2*limit)
		f.setLists(f.nodes)
		run(2 * defaultGrantFor)
		is.True(run(20*time.Second) <= limit*1.000001)
		t.Logf("direct up to %d: %.3f of the limit at first, %.3f while lists differ", direct, within/limit, most/limit)
	}
}

// A collector stops answering and stays in the list, since only its process
// hangs. Callers of its domain would be refused down to the reserve for as long
// as it hangs. The next collector in rank must give the domain its share.
func TestPausedCollectorStarvesNobody(t *testing.T) {
	is := is.New(t)
	const limit, step = 100.0, 50 * time.Millisecond
	f := newDomainFleet(1, 27, 3, 4, []Limit{{Org: "org", PerSecond: limit}})
	f.byID[f.nodes[0].limiter.domain.collectors[0]].paused = true
	hot := f.nodes[0]
	if hot.paused {
		hot = f.nodes[3]
	}
	run := func(d time.Duration) float64 {
		passed, end := 0, f.now+d
		for f.now < end {
			f.step(step)
			passed += f.offer(hot, "org", 3*limit, step)
		}
		return float64(passed) / d.Seconds()
	}
	run(20 * time.Second)
	is.True(run(20*time.Second) > 0.85*limit)
}

// A collector no longer reaches the holder, but its nodes. It must not renew what
// the holder gives to others when the lease has run out: callers would get
// the sum. Its nodes fall to their reserves, and the others get the rest.
func TestCollectorWithoutHolder(t *testing.T) {
	is := is.New(t)
	const limit, step = 100.0, 50 * time.Millisecond
	f := newDomainFleet(1, 27, 3, 4, []Limit{{Org: "org", PerSecond: limit}})
	holder := f.holderOf("org")
	near, far := f.nodes[0], f.nodes[1]
	for _, id := range near.limiter.domain.collectors {
		f.apart[[2]*domainNode{f.byID[id], holder}] = true
	}
	cut := f.apart
	f.apart = nil
	rate := func(n *domainNode) float64 { return n.limiter.rate(n.limiter.orgs["org"], n.limiter.since(f.time())) }
	run := func(d time.Duration, hot ...*domainNode) {
		for end := f.now + d; f.now < end; {
			f.step(step)
			for _, n := range hot {
				f.offer(n, "org", 300, step)
			}
			is.True(f.rates("org") <= limit*1.000001)
		}
	}
	run(20*time.Second, near)
	is.True(rate(near) > 0.85*limit)
	f.apart = cut
	run(defaultGrantFor+defaultSumPeriod, near, far)
	is.True(rate(near) < 0.01*limit)
	run(forgetAfter+2*defaultSumPeriod, near, far)
	is.True(rate(far) > 0.85*limit)
}

// A collector's process starts again while one of its nodes, cut off, still
// holds all of the domain's share. Another of its nodes bursts: if the holder
// took the new process for the old one, both would use the limit at once.
func TestCollectorStartsAgain(t *testing.T) {
	is := is.New(t)
	const limit, step = 100.0, 50 * time.Millisecond
	f := newDomainFleet(1, 27, 3, 4, []Limit{{Org: "org", PerSecond: limit}})
	first := f.byID[f.nodes[0].limiter.domain.collectors[0]]
	own := slices.DeleteFunc(slices.Clone(f.nodes), func(n *domainNode) bool { return n.domain != "0" || n == first })
	run := func(d time.Duration, hot *domainNode) {
		for end := f.now + d; f.now < end; {
			f.step(step)
			f.offer(hot, "org", 300, step)
			is.True(f.rates("org") <= limit*1.000001)
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

// A node is cut off from all others. It keeps its last share until that ends,
// and then its reserve, neither more nor nothing.
func TestCutOffNodeOfADomain(t *testing.T) {
	is := is.New(t)
	const limit, step = 100.0, 50 * time.Millisecond
	f := newDomainFleet(1, 27, 3, 4, []Limit{{Org: "org", PerSecond: limit}})
	n := f.nodes[0]
	if n.id == n.limiter.domain.collectors[0] {
		n = f.nodes[3]
	}
	run := func(d time.Duration) {
		for end := f.now + d; f.now < end; {
			f.step(step)
			f.offer(n, "org", 300, step)
		}
	}
	rate := func() float64 { return n.limiter.rate(n.limiter.orgs["org"], n.limiter.since(f.time())) }
	run(20 * time.Second)
	held := rate()
	is.True(held > 0.85*limit)
	n.cut = true
	run(2 * time.Second)
	is.True(rate() <= held)
	run(defaultGrantFor)
	const reserve = limit * defaultRateReserve / 27
	is.True(rate() > 0.999*reserve && rate() < 1.001*reserve)
}
