package confsync

import (
	"math"
	"testing"
	"time"
)

// BenchmarkOutagePolicy compares policies for a node without a proof of the table. It measures
// how many random schedules violate an invariant and the share of time in which nodes refuse
// work, in these schedules and in ten minutes during which only the table is down.
func BenchmarkOutagePolicy(b *testing.B) {
	policies := []struct {
		name   string
		quorum func(int) int
	}{
		{"refuse-always", func(int) int { return math.MaxInt }},
		{"majority", majority},
		{"go-on-always", func(int) int { return 1 }},
	}
	const seeds = 2000
	for _, p := range policies {
		b.Run(p.name, func(b *testing.B) {
			r := defaultRules()
			r.outageQuorum = p.quorum
			for b.Loop() {
				broken, refusing, samples := 0, 0, 0
				for seed := range uint64(seeds) {
					w := simRun(seed+1, r, false)
					if w.failure != "" {
						broken++
					}
					refusing += w.counts.refusing
					samples += w.counts.samples
				}
				b.ReportMetric(float64(broken), "schedules-broken")
				b.ReportMetric(100*float64(refusing)/float64(samples), "%-refusing")
				b.ReportMetric(outageRefusals(r), "%-refusing-in-outage")
			}
		})
	}
}

func outageRefusals(r rules) float64 {
	w := newWorld(1, Settings{})
	w.rules = r
	w.accept()
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		w.addNode(id, "d"+id)
	}
	w.run(10 * time.Second)
	before := w.counts
	w.table.down = true
	w.run(10 * time.Minute)
	return 100 * float64(w.counts.refusing-before.refusing) / float64(w.counts.samples-before.samples)
}
