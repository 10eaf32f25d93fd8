package node

import (
	"sync"
	"time"
)

// logGap is the least time between two records of an event that every request
// of a bad hour would bring.
const logGap = 10 * time.Second

// throttle lets one event through in each logGap.
type throttle struct {
	mu   sync.Mutex
	last time.Time
}

func (t *throttle) allow(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.last) < logGap {
		return false
	}
	t.last = now
	return true
}
