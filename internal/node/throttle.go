package node

import (
	"sync"
	"time"
)

// logInterval is the minimum interval between two records of an event that every request may cause
// during an outage.
const logInterval = 10 * time.Second

// logLimiter allows one event in each logInterval.
type logLimiter struct {
	mu   sync.Mutex
	last time.Time
}

func (l *logLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last) < logInterval {
		return false
	}
	l.last = now
	return true
}
