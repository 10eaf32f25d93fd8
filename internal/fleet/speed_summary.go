package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowFrom is the lasting slowness from which an upstream counts as slow for operators.
	slowFrom = 1.5
	// maxSlowest is the maximum number of upstreams that a summary names.
	maxSlowest = 8
)

// SpeedSummary describes what a node knows of its upstreams' speeds.
type SpeedSummary struct {
	// Known is the number of upstreams with evidence, Slow the number of those that take at
	// least one and a half times as long as usual.
	Known, Slow int
	// OldestEvidence is the greatest time since the evidence about an upstream was last
	// renewed; 0 without any.
	OldestEvidence time.Duration
	// Slowest are the slowest upstreams, the slowest first; at most 8.
	Slowest []UpstreamSpeed
}

// UpstreamSpeed is what a node knows of one upstream's speed.
type UpstreamSpeed struct {
	ID string
	// Lasting and Momentary are how long work takes relative to the usual, by streams and by
	// the latest report of the machine. Weight is the evidence for Lasting in streams.
	Lasting, Momentary, Weight float64
	// Age is the time since the evidence was last renewed.
	Age time.Duration
}

// SpeedSummary returns what this node knows of speeds, in time that grows with the upstreams.
func (f *Fleet) SpeedSummary(now time.Time) (s SpeedSummary) {
	if len(f.usual.tracked) == 0 {
		return s
	}
	for _, u := range f.byID {
		speed := &u.speed
		lasting, momentary, weight, _, known := f.Slowness(u, now)
		if !known || weight < weightUnit {
			continue
		}
		age := max(now.Sub(latest(speed.ownAt, speed.othersAt)), 0)
		s.Known++
		s.OldestEvidence = max(s.OldestEvidence, age)
		if lasting >= slowFrom {
			s.Slow++
			s.Slowest = append(s.Slowest, UpstreamSpeed{u.ID, lasting, momentary, weight, age})
		}
	}
	slices.SortFunc(s.Slowest, func(a, b UpstreamSpeed) int {
		return cmp.Or(cmp.Compare(b.Lasting, a.Lasting), cmp.Compare(a.ID, b.ID))
	})
	s.Slowest = s.Slowest[:min(len(s.Slowest), maxSlowest)]
	return s
}
