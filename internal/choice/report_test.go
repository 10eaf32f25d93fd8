package choice

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

var exchanged = []string{"m@1", "m@2", "m@3"}

// exchangeNetwork is a set of nodes that report to one of two collectors over a network
// that loses, repeats and delays messages.
type exchangeNetwork struct {
	nodes      []*Chooser
	collectors []*Chooser
	epoch      uint64
	now        time.Time
	delayed    []delayedMessage
}

// delayedMessage is a report or a pool that has not arrived yet.
type delayedMessage struct {
	to     *Chooser
	report *Report
	pool   *Pool
}

func newExchangeNetwork() *exchangeNetwork {
	w := &exchangeNetwork{now: start, epoch: 1}
	for _, name := range []string{"a", "b", "c"} {
		w.nodes = append(w.nodes, New(Settings{Node: name, Epoch: 1}))
	}
	for _, name := range []string{"x", "y"} {
		w.collectors = append(w.collectors, New(Settings{Node: name, Epoch: 1}))
	}
	return w
}

func (w *exchangeNetwork) step(t *rapid.T) {
	w.now = w.now.Add(time.Second)
	node := rapid.SampledFrom(w.nodes).Draw(t, "node")
	collector := rapid.IntRange(0, 1).Draw(t, "collector")
	switch rapid.SampledFrom([]string{"rate", "rate", "rate", "exchange", "exchange", "lose", "lose answer", "delay", "delay answer", "repeat", "arrive", "arrive", "restart", "collect"}).Draw(t, "step") {
	case "rate":
		class := rapid.SampledFrom([]string{"draft", "tag"}).Draw(t, "class")
		node.Observe(Observation{Version: rapid.SampledFrom(exchanged).Draw(t, "version"), Class: class, Score: 0.5, Now: w.now})
	case "exchange":
		w.exchange(node, w.collectors[collector], rapid.SliceOfNDistinct(rapid.SampledFrom(exchanged), 1, 3, rapid.ID).Draw(t, "versions"))
	case "lose":
		node.Report(exchanged)
	case "lose answer":
		w.collectors[collector].HandleReport(node.Report(exchanged), w.now)
	case "delay":
		r := node.Report(exchanged)
		w.delayed = append(w.delayed, delayedMessage{to: w.collectors[collector], report: &r})
	case "delay answer":
		p := w.collectors[collector].HandleReport(node.Report(exchanged), w.now)
		w.delayed = append(w.delayed, delayedMessage{to: node, pool: &p})
	case "repeat":
		r := node.Report(exchanged)
		w.collectors[collector].HandleReport(r, w.now)
		node.ApplyPool(w.collectors[collector].HandleReport(r, w.now))
	case "arrive":
		w.deliver(t)
	case "collect":
		node.Collect(rapid.SampledFrom(exchanged).Draw(t, "version"))
	case "restart":
		w.epoch++
		w.collectors[collector] = New(Settings{Node: w.collectors[collector].settings.Node, Epoch: w.epoch})
	}
}

func (w *exchangeNetwork) deliver(t *rapid.T) {
	if len(w.delayed) == 0 {
		return
	}
	m := rapid.SampledFrom(w.delayed).Draw(t, "late") // it may arrive more than once
	if m.pool != nil {
		m.to.ApplyPool(*m.pool)
		return
	}
	m.to.HandleReport(*m.report, w.now)
}

// exchange does what package share does for each report.
func (w *exchangeNetwork) exchange(node, collector *Chooser, versions []string) {
	for range 2 {
		w.now = w.now.Add(time.Second)
		r := node.Report(versions)
		p := collector.HandleReport(r, w.now)
		node.ApplyPool(p)
		if !r.Lacks(p) {
			return
		}
	}
}

func cellsOf(list []quality.Entry) map[quality.Key]quality.Cell {
	cells := map[quality.Key]quality.Cell{}
	for _, e := range list {
		cells[e.Key] = e.Cell
	}
	return cells
}

// A report omits what the collector acknowledged, and a pool what the node has. After
// losses, repetitions, reordering, restarts and changes of the collector, two exchanges
// must give both sides all cells; otherwise a node keeps outdated ratings, or the
// collector never gets some.
func TestReportsOmitOnlyWhatTheReceiverHas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newExchangeNetwork()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.step(t)
		}
		collector := w.collectors[0]
		for range 2 {
			for _, n := range w.nodes {
				w.exchange(n, collector, exchanged)
			}
		}
		for _, n := range w.nodes {
			for _, v := range collector.Pool(n.run(), exchanged, w.now.UnixNano()).Versions {
				want, got := cellsOf(v.Cells), cellsOf(n.state(v.Version).pool.cells)
				if len(want) != len(got) {
					t.Fatalf("%s of %s: %d cells, not %d", n.settings.Node, v.Version, len(got), len(want))
				}
				for key, cell := range want {
					if got[key] != cell {
						t.Fatalf("%s of %v:\n%+v\n%+v", n.settings.Node, key, got[key], cell)
					}
				}
			}
			for _, entry := range n.Summary().Cells {
				var has quality.Cell
				collector.store.Add(&has, entry.Key, func(r quality.Run) bool { return r == n.run() })
				if has != entry.Cell {
					t.Fatalf("%v of %s:\n%+v\n%+v", entry.Key, n.settings.Node, has, entry.Cell)
				}
			}
		}
	})
}

// A pool may arrive after one of another collector, or after a newer one. The cells that
// it omits are then not those that the node has, so it must be ignored.
func TestLatePoolsLoseNoCells(t *testing.T) {
	is := is.New(t)
	w := newExchangeNetwork()
	a, b, x, y := w.nodes[0], w.nodes[1], w.collectors[0], w.collectors[1]
	rate := func(version string) {
		w.now = w.now.Add(time.Second)
		b.Observe(Observation{Version: version, Class: "draft", Score: 0.5, Now: w.now})
		w.exchange(b, x, exchanged)
	}
	answer := func() Pool {
		w.now = w.now.Add(time.Second)
		return x.HandleReport(a.Report(exchanged), w.now)
	}
	inSync := func() bool {
		w.exchange(a, x, exchanged)
		for _, v := range x.Pool(a.run(), exchanged, 0).Versions {
			if !maps.Equal(cellsOf(v.Cells), cellsOf(a.state(v.Version).pool.cells)) {
				return false
			}
		}
		return true
	}
	for range 20 { // so that the change numbers of y are above those of x
		w.nodes[2].Observe(Observation{Version: "m@3", Class: "tag", Score: 0.5, Now: w.now})
		w.exchange(w.nodes[2], y, exchanged)
	}
	rate("m@1")
	first := answer()
	rate("m@2")
	w.exchange(a, x, exchanged)
	b.Observe(Observation{Version: "m@2", Class: "draft", Score: 0.5, Now: w.now})
	b.Observe(Observation{Version: "m@2", Class: "tag", Score: 0.5, Now: w.now})
	w.exchange(b, x, exchanged)
	second := answer()
	w.exchange(a, y, exchanged)
	a.ApplyPool(second) // omits cells that y does not have
	is.True(inSync())
	rate("m@2")
	second = answer()
	rate("m@2")
	third := answer()
	a.ApplyPool(third)
	a.ApplyPool(second)
	weight := cellsOf(a.state("m@2").pool.cells)[quality.Key{Version: "m@2", Class: "draft"}].Long.Weight
	is.True(weight > 3.9) // of 4; some weight has decayed
	rate("m@3")
	second = answer()
	w.exchange(a, y, exchanged)
	a.ApplyPool(first)
	a.ApplyPool(second) // omits the cells changed since the first pool
	is.True(inSync())
}

// Cells without new ratings must not be sent again in either direction.
func TestReportsContainOnlyChangedCells(t *testing.T) {
	is := is.New(t)
	w := newExchangeNetwork()
	a, b, x := w.nodes[0], w.nodes[1], w.collectors[0]
	for _, n := range []*Chooser{a, b} {
		for _, version := range exchanged {
			n.Observe(Observation{Version: version, Class: "draft", Score: 0.5, Now: start})
		}
	}
	for range 2 {
		w.exchange(a, x, exchanged)
		w.exchange(b, x, exchanged)
	}
	b.Observe(Observation{Version: "m@2", Class: "draft", Score: 0.5, Now: start})
	count := func(n *Chooser) (sent, answered int) {
		r := n.Report(exchanged)
		p := x.HandleReport(r, w.now.Add(time.Minute))
		n.ApplyPool(p)
		for _, v := range p.Versions {
			answered += len(v.Cells)
		}
		return len(r.Summary.Cells), answered
	}
	sent, answered := count(b)
	is.Equal([]int{sent, answered}, []int{1, 0}) // a node is not sent its own change
	sent, answered = count(a)
	is.Equal([]int{sent, answered}, []int{0, 1})
	sent, answered = count(a)
	is.Equal([]int{sent, answered}, []int{0, 0})
	resent := 0
	for range 200 {
		a.ObserveAnswer(Answer{Version: "m@1", Class: "draft", Took: time.Second, Now: start})
		sent, _ = count(a)
		resent += sent
	}
	is.True(resent < 50) // durations are sent while they change significantly
	is.True(resent > 10)
}

// A node reports suspect versions alone every second, and the archive row of one version
// is read alone. A summary of one version must not drop the cells of others.
func TestReportOfOneVersionKeepsOtherVersions(t *testing.T) {
	is := is.New(t)
	a, x := New(Settings{Node: "a", Epoch: 1}), New(Settings{Node: "x", Epoch: 1})
	for _, version := range exchanged {
		a.Observe(Observation{Version: version, Class: "draft", Score: 0.5, Now: start})
	}
	x.Merge(a.Summary(exchanged...), start)
	x.Merge(a.Summary("m@2"), start)
	for _, version := range exchanged {
		var total quality.Cell
		x.store.Add(&total, quality.Key{Version: version, Class: "draft"}, func(quality.Run) bool { return true })
		is.Equal(total.Long.Weight, 1.0)
	}
}
