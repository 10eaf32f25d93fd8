package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds and precision of the histograms.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Latency is a summary of one histogram. Times are in microseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_us"`
	P50   int64   `json:"p50_us"`
	P90   int64   `json:"p90_us"`
	P95   int64   `json:"p95_us"`
	P99   int64   `json:"p99_us"`
	P999  int64   `json:"p99_9_us"`
	Max   int64   `json:"max_us"`
	// Curve is the whole distribution, for the plot; empty if not requested.
	Curve []Point `json:"curve,omitempty"`
}

// Point is one point of a cumulative distribution.
type Point struct {
	// Quantile is the percentage of values that are at most Micros, in [0,100].
	Quantile float64 `json:"quantile"`
	Micros   int64   `json:"us"`
}

type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

func (h histogram) add(d time.Duration) {
	_ = h.h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)) // never fails within the bounds
}

func (h histogram) latency(curve bool) Latency {
	l := Latency{
		Count: h.h.TotalCount(), Mean: h.h.Mean(),
		P50: h.h.ValueAtQuantile(50), P90: h.h.ValueAtQuantile(90), P95: h.h.ValueAtQuantile(95),
		P99: h.h.ValueAtQuantile(99), P999: h.h.ValueAtQuantile(99.9), Max: h.h.Max(),
	}
	if l.Count == 0 {
		l.Mean = 0
		return l
	}
	if curve {
		for _, b := range h.h.CumulativeDistributionWithTicks(10) {
			l.Curve = append(l.Curve, Point{Quantile: b.Quantile, Micros: b.ValueAt})
		}
	}
	return l
}
