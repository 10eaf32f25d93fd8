package choice

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// chooserWithRatings returns a chooser that has observed n ratings of m@1.
func chooserWithRatings(t *testing.T, node string, score float64, n int) *Chooser {
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

// When a node becomes the collector, the first summary of each run contains all evidence
// since that run's start, including evidence that was cleared long ago. Only later
// evidence may count; otherwise the version is held for it.
func TestFirstSummaryOfRunAddsNoEvidence(t *testing.T) {
	is := is.New(t)
	sender := chooserWithRatings(t, "a", 0.8, 40)
	sender.view.refreshed = start.Add(-refreshInterval) // the next observation refreshes the view, so that m@1 has a reference
	observe(sender, 0.3, 2)
	old := sender.Summary()
	is.True(len(sender.Suspects()) == 1)
	collector := chooserWithRatings(t, "b", 0.8, 0)
	collector.Merge(old, start)
	is.Equal(collector.state("m@1").statistic(), 0.0)
	observe(sender, 0.3, 1)
	collector.Merge(sender.Summary(), start)
	is.True(collector.state("m@1").statistic() > 1)
	before := collector.state("m@1").statistic()
	collector.Merge(old, start)
	is.Equal(collector.state("m@1").statistic(), before) // an older summary adds no evidence
}

// The nodes that exchange pools must have the same estimates as one node that observed
// all ratings.
func TestPoolCombinesRatingsOfNodes(t *testing.T) {
	is := is.New(t)
	a, b := chooserWithRatings(t, "a", 0.8, 30), chooserWithRatings(t, "b", 0.6, 10)
	b.Merge(a.Summary(), start)
	a.ApplyPool(b.Pool(a.run(), []string{"m@1"}, 1))
	for _, c := range []*Chooser{a, b} {
		c.view.refreshed = start.Add(-refreshInterval)
		c.Choose(request(c.view.snapshot, start, 0))
		k := c.estimate(c.view.versions[0].config, "draft", start)
		is.Equal(k.option.Estimate.Weight, 40.0)
	}
	mean := func(c *Chooser) float64 {
		return c.estimate(c.view.versions[0].config, "draft", start).option.Estimate.Mean
	}
	is.True(math.Abs(mean(a)-mean(b)) < 1e-6) // cells are rounded when they are sent
}
