package ledger

import (
	"sync/atomic"
	"time"
)

const (
	// weight is the part that one answer has in the mean.
	weight = 0.2
	// patience is how many times the mean an answer may take before another
	// node is asked.
	patience = 3
	// maxPatience bounds that time.
	maxPatience = 4 * time.Second
)

// latency is a moving mean of how long answers take. While the table is slow,
// asking a second batcher after a fixed time would only make two of them write
// one log, and lose races to each other.
type latency struct{ nanos atomic.Int64 }

func (l *latency) observe(d time.Duration) {
	old := l.nanos.Load()
	l.nanos.Store(old + int64(weight*float64(int64(d)-old)))
}

// hedgeAfter is how long to wait for one node, at least the given time.
func (l *latency) hedgeAfter(least time.Duration) time.Duration {
	return max(least, min(patience*time.Duration(l.nanos.Load()), maxPatience))
}
