package choice

import (
	"math/rand/v2"
	"testing"
	"time"
)

const benchVersions = 24

// ratedChooser returns a chooser with 600 ratings of each version, and a request.
func ratedChooser(b *testing.B, versions int) (*Chooser, Request) {
	s := compile(b, document(versions))
	c := New(Settings{Node: "a", Epoch: 1})
	c.Choose(request(s, start, 0))
	rng := rand.New(rand.NewPCG(1, 2))
	for _, v := range s.Doc.Models[0].Versions {
		for range 600 {
			score := min(max(v.PriorQuality+0.1*rng.NormFloat64(), 0), 1)
			c.Observe(Observation{Version: v.Name, Class: "draft", Score: score, Again: score, HasAgain: true, Now: start})
		}
		c.ObserveAnswer(Answer{Version: v.Name, Class: "draft", Took: time.Second, InputTokens: 1000, OutputTokens: 300, Now: start})
	}
	return c, request(s, start, 0)
}

// BenchmarkChoose chooses among 24 versions with cached frontiers.
func BenchmarkChoose(b *testing.B) {
	c, req := ratedChooser(b, benchVersions)
	rng := rand.New(rand.NewPCG(1, 2))
	c.Choose(req)
	b.ReportAllocs()
	for b.Loop() {
		req.Random = rng.Uint64()
		c.Choose(req)
	}
}

// BenchmarkChooseRefreshing models 59 requests per second, where the frontiers are
// recomputed every five seconds.
func BenchmarkChooseRefreshing(b *testing.B) {
	c, req := ratedChooser(b, benchVersions)
	rng := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		req.Now = req.Now.Add(17 * time.Millisecond)
		req.Random = rng.Uint64()
		c.Choose(req)
	}
}

// BenchmarkObserve adds ratings of 24 versions.
func BenchmarkObserve(b *testing.B) {
	c, req := ratedChooser(b, benchVersions)
	now := req.Now
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Millisecond)
		c.Observe(Observation{Version: req.Versions[i%benchVersions], Class: "draft", Score: 0.8, Now: now})
	}
}

// BenchmarkExchange measures one report of all cells and its pool.
func BenchmarkExchange(b *testing.B) {
	c, req := ratedChooser(b, benchVersions)
	collector, _ := ratedChooser(b, benchVersions)
	collector.settings.Node = "b"
	b.ReportAllocs()
	for b.Loop() {
		sum := c.Summary(req.Versions...)
		collector.Merge(sum, req.Now)
		c.ApplyPool(collector.Pool(sum.Run(), req.Versions, req.Now.UnixNano()))
	}
}
