package capacity

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

func telemetryProbes() []Probe {
	return []Probe{
		{
			Slope: Slope{Name: "telemetry.heap", What: "the heap of the metrics of requests that were seen", Per: "pairs of organisation and class", Unit: Bytes},
			Sizes: []int{8, 64, 512}, QuickSizes: []int{8, 64}, Measure: measureTelemetryHeap,
		},
		{
			Slope: Slope{Name: "telemetry.observe", What: "a request counted", Per: "pairs of organisation and class", Unit: Nanoseconds},
			Sizes: []int{8, 64, 512}, QuickSizes: []int{8, 64}, Measure: measureTelemetry,
		},
	}
}

func observation(i int) *telemetry.Observation {
	// Durations are spread over the buckets of a histogram.
	spread := time.Duration(1 + splitMix64(uint64(i))%1000)
	return &telemetry.Observation{
		Outcome: request.Completed, Version: versionName0, Queued: spread * time.Microsecond, FirstToken: spread * time.Millisecond,
		TokenGap: spread * 50 * time.Microsecond, Total: spread * 20 * time.Millisecond, Cost: 100, InputTokens: 900, OutputTokens: 320,
	}
}

func newTelemetry(pairs int) *telemetry.Set {
	set := telemetry.New(telemetry.Bounds{})
	for i := range 50 * pairs {
		pair := i % pairs
		set.Request(orgName(pair/docClasses), className(pair%docClasses)).Observe(observation(i))
	}
	return set
}

func measureTelemetryHeap(m Meter, pairs int) (float64, error) {
	return m.Heap(func() any { return newTelemetry(pairs) }), nil
}

func measureTelemetry(m Meter, pairs int) (float64, error) {
	set := newTelemetry(pairs)
	i := 0
	return m.CPU(func(n int) {
		for range n {
			i++
			pair := i % pairs
			set.Request(orgName(pair/docClasses), className(pair%docClasses)).Observe(observation(i))
		}
	}), nil
}
