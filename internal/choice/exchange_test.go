package choice

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// rated returns a chooser that has seen so many ratings of m@1.
func rated(t *testing.T, node string, score float64, n int) *Chooser {
	c := New(Settings{Node: node, Epoch: 1})
	c.Choose(request(compile(t, document(2)), start, 0))
	observe(c, score, n)
	return c
}

func observe(c *Chooser, score float64, n int) {
	for range n {
		c.Observe(Observation{Version: "m@1", Class: "draft", Score: score, Now: start})
	}
}

// A version is held for what was cleared long ago. A node takes over the
// collecting, and the first summaries that it gets hold all evidence since the
// senders' start. Only what comes after may count.
func TestFirstSummaryOfARunBringsNoEvidence(t *testing.T) {
	is := is.New(t)
	sender := rated(t, "a", 0.8, 40)
	sender.view.made = start.Add(-refreshGap) // its reference is known from now on
	observe(sender, 0.3, 2)
	old := sender.Summary()
	is.True(len(sender.Suspects()) == 1)
	collector := rated(t, "b", 0.8, 0)
	collector.Merge(old, start)
	is.Equal(collector.state("m@1").suspicion(), 0.0)
	observe(sender, 0.3, 1)
	collector.Merge(sender.Summary(), start)
	is.True(collector.state("m@1").suspicion() > 1)
	before := collector.state("m@1").suspicion()
	collector.Merge(old, start)
	is.Equal(collector.state("m@1").suspicion(), before) // late, and not again
}

// Nodes that see half of a bad turn each must find it as one node would that
// sees all.
func TestPoolsJoinWhatNodesSaw(t *testing.T) {
	is := is.New(t)
	a, b := rated(t, "a", 0.8, 30), rated(t, "b", 0.6, 10)
	b.Merge(a.Summary(), start)
	a.TakePool(b.Pool(a.run(), []string{"m@1"}, 1))
	for _, c := range []*Chooser{a, b} {
		c.view.made = start.Add(-refreshGap)
		c.Choose(request(c.view.snapshot, start, 0))
		k := c.known(c.view.versions[0].config, "draft", start)
		is.Equal(k.option.Estimate.Weight, 40.0)
	}
	mean := func(c *Chooser) float64 {
		return c.known(c.view.versions[0].config, "draft", start).option.Estimate.Mean
	}
	is.True(math.Abs(mean(a)-mean(b)) < 1e-6) // but for the rounding on the way
}
