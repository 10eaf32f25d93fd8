package gateway

import (
	"sync"
	"time"
)

// logThrottle bounds log lines to one per logThrottleInterval.
type logThrottle struct {
	mu   sync.Mutex
	last time.Time
}

// logThrottleInterval is the minimum pause between two lines of a [logThrottle].
const logThrottleInterval = time.Second

// allow reports whether a line may be logged now.
func (t *logThrottle) allow(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.last) < logThrottleInterval {
		return false
	}
	t.last = now
	return true
}
