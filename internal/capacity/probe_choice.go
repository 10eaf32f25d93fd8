package capacity

import (
	"math/rand/v2"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
)

var versionCounts = []int{2, 6, 12, 24}

func choiceProbes() []Probe {
	return []Probe{
		{
			Slope: Slope{Name: "choice.choose", What: "a request: Choose, ObserveAnswer", Per: "versions that may serve it", Unit: Nanoseconds},
			Sizes: versionCounts, QuickSizes: []int{2, 24}, Measure: measureChoose,
		},
		{
			Slope: Slope{Name: "choice.observe", What: "a rating: Observe", Per: "versions rated", Unit: Nanoseconds},
			Sizes: versionCounts, QuickSizes: []int{2, 24}, Measure: measureObserve,
		},
		{
			Slope: Slope{Name: "choice.summary.bytes", What: "a summary of all cells, gob", Per: "cells (versions by classes)", Unit: Bytes},
			Sizes: []int{2, 12, 48, 288}, QuickSizes: []int{12, 288}, Measure: measureSummaryBytes,
		},
		{
			Slope: Slope{Name: "choice.merge", What: "a peer's summary of all cells: Merge", Per: "cells (versions by classes)", Unit: Nanoseconds},
			Sizes: []int{2, 12, 48, 288}, QuickSizes: []int{12, 288}, Measure: measureMerge,
		},
		{
			Slope: Slope{Name: "choice.heap", What: "a chooser's heap", Per: "cells (versions by classes)", Unit: Bytes},
			Sizes: []int{2, 12, 48, 288}, QuickSizes: []int{12, 288}, Measure: measureChooserHeap,
		},
		{
			Slope: Slope{Name: "choice.collector.heap", What: "a collector's heap for the summaries of one version's 12 cells", Per: "nodes that report", Unit: Bytes},
			Sizes: []int{2, 8, 32, 128}, QuickSizes: []int{8, 32}, Measure: measureCollectorHeap,
		},
	}
}

// snapshotOf returns a compiled configuration with the given number of organisations.
func snapshotOf(orgs int) (*config.Snapshot, error) { return config.Compile(1, document(orgs)) }

// addRatings gives the chooser ratings and answers for the first cells.
func addRatings(c *choice.Chooser, cells int) {
	r := rand.New(rand.NewPCG(1, 2))
	for i := range cells {
		version, class := versionName(i%docVersions), className(i/docVersions)
		for range 40 {
			c.Observe(choice.Observation{Version: version, Class: class, Score: 0.7 + 0.1*r.NormFloat64(), Now: start})
			c.ObserveAnswer(choice.Answer{Version: version, Class: class, Took: 10 * time.Second, InputTokens: 900, OutputTokens: 320, Now: start})
		}
	}
}

func newChooser(node string, cells int) *choice.Chooser {
	c := choice.New(choice.Settings{Node: node, Epoch: 1})
	addRatings(c, cells)
	return c
}

func measureChoose(m Meter, versions int) (float64, error) {
	s, err := snapshotOf(10)
	if err != nil {
		return 0, err
	}
	c := newChooser("entry-00000", docVersions)
	names := make([]string, versions)
	for i := range names {
		names[i] = versionName(i)
	}
	req := choice.Request{Snapshot: s, Org: s.Organisation(orgName(0)), Class: s.Class(className(0)), Versions: names, Slack: time.Minute}
	r := rand.New(rand.NewPCG(3, 4))
	now := start
	return m.CPU(func(n int) {
		for range n {
			// One node gets 58.75 requests per second, which share a plan that is rebuilt every
			// two seconds.
			now = now.Add(17 * time.Millisecond)
			req.Now = now
			req.Random = r.Uint64()
			p := c.Choose(req)
			c.ObserveAnswer(choice.Answer{Version: p.First, Class: req.Class.Name, Took: 10 * time.Second, InputTokens: 900, OutputTokens: 320, Now: now})
		}
	}), nil
}

func measureObserve(m Meter, versions int) (float64, error) {
	s, err := snapshotOf(10)
	if err != nil {
		return 0, err
	}
	c := newChooser("entry-00000", versions)
	c.Choose(choice.Request{Snapshot: s, Org: s.Organisation(orgName(0)), Class: s.Class(className(0)), Versions: []string{versionName0}, Now: start, Slack: time.Minute})
	r := rand.New(rand.NewPCG(5, 6))
	now := start
	i := 0
	return m.CPU(func(n int) {
		for range n {
			i++
			now = now.Add(500 * time.Millisecond)
			c.Observe(choice.Observation{Version: versionName(i % versions), Class: className(0), Score: 0.7 + 0.05*r.NormFloat64(), Now: now})
		}
	}), nil
}

func measureSummaryBytes(_ Meter, cells int) (float64, error) {
	return gobSize(newChooser("entry-00000", cells).Summary())
}

func measureMerge(m Meter, cells int) (float64, error) {
	sender := newChooser("entry-00001", cells)
	c := newChooser("entry-00000", cells)
	return m.CPU(func(n int) {
		for range n {
			c.Merge(sender.Summary(), start)
		}
	}), nil
}

func measureChooserHeap(m Meter, cells int) (float64, error) {
	return m.Heap(func() any { return newChooser("entry-00000", cells) }), nil
}

func measureCollectorHeap(m Meter, nodes int) (float64, error) {
	return m.Heap(func() any {
		c := choice.New(choice.Settings{Node: "entry-00000", Epoch: 1})
		for _, name := range nodeNames(nodes + 1)[1:] {
			c.Merge(newOneVersionChooser(name).Summary(versionName0), start)
		}
		return c
	}), nil
}

// newOneVersionChooser returns a chooser with ratings of one version in every class.
func newOneVersionChooser(node string) *choice.Chooser {
	c := choice.New(choice.Settings{Node: node, Epoch: 1})
	for i := range docClasses {
		for range 40 {
			c.Observe(choice.Observation{Version: versionName0, Class: className(i), Score: 0.7 + 0.01*float64(i), Now: start})
		}
	}
	return c
}
