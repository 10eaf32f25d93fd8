package canary

import "math"

const (
	// delayBucketsPerOctave is the resolution of a histogram: its buckets grow by a fifth.
	delayBucketsPerOctave = 4
	// minHistogramDelay is the upper bound of the first bucket, in seconds. The last bucket
	// begins above a minute.
	minHistogramDelay = 0.25e-3
	delayBuckets      = 18 * delayBucketsPerOctave
	// histogramWindow is the weight at which a histogram's counts are halved, so that it
	// follows the load.
	histogramWindow = 64
)

// delayHistogram counts recent delays in logarithmic buckets.
type delayHistogram struct {
	counts [delayBuckets]float32
	total  float32
}

func (h *delayHistogram) add(seconds float64) {
	h.counts[delayBucket(seconds)]++
	h.total++
	if h.total < histogramWindow {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// delayBucket returns the bucket of a delay in seconds.
func delayBucket(seconds float64) int {
	if seconds <= minHistogramDelay {
		return 0
	}
	return min(1+int(delayBucketsPerOctave*math.Log2(seconds/minHistogramDelay)), delayBuckets-1)
}

// bucketStart returns the lower bound of a bucket in seconds.
func bucketStart(bucket int) float64 {
	return minHistogramDelay * math.Exp2(float64(bucket-1)/delayBucketsPerOctave)
}

// pooledMedian returns the median of a histogram to which a broader group's is added with a
// weight in answers; 0 if both are empty.
func pooledMedian(h, group *delayHistogram, groupWeight float32) float64 {
	scale := float32(0)
	if group.total > 0 {
		scale = min(groupWeight, group.total) / group.total
	}
	rest := (h.total + scale*group.total) / 2
	if rest == 0 {
		return 0
	}
	for i := range h.counts {
		n := h.counts[i] + scale*group.counts[i]
		if n < rest {
			rest -= n
			continue
		}
		return bucketStart(i) * math.Exp2(float64(rest/n)/delayBucketsPerOctave)
	}
	return bucketStart(delayBuckets - 1)
}
