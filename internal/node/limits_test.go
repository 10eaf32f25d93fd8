package node

import (
	"slices"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/admission"
)

// Fails if rate limits drop to the nodes' reserves when a failure domain grows beyond
// eight nodes, because the calls to the collector or from it to the holder fail between
// processes. Every node must get more than it may use without a grant, which is a ninth
// of a tenth of the limit.
func TestNodesOfALargeDomainGetSharesFromACollector(t *testing.T) {
	const nodes, limit, reserve, atOnce = 9, 9000.0, 100.0, 4
	all := domains
	domains = all[:1]
	t.Cleanup(func() { domains = all })
	f := newFleet(t, fleetSize{nodes: nodes})
	limits := []admission.Limit{{Org: "org", PerSecond: limit}}
	for _, n := range f.nodes {
		n.gate.setLimits(limits)
		n.limits.setLimits(limits)
	}
	start := time.Now()
	var passed [nodes]float64
	f.await("shares beyond the reserve at every node", func() bool {
		for i, n := range f.nodes {
			for range atOnce {
				if n.gate.checkRate("org") == nil {
					passed[i]++
				}
			}
		}
		burst := reserve
		return slices.Min(passed[:]) > 2*(reserve*time.Since(start).Seconds()+burst)
	})
}
