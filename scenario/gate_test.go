package scenario

import (
	"sync"
	"time"
)

// gate controls the bytes between two processes: it lets them pass, delays them or blocks
// them.
type gate struct {
	mu    sync.Mutex
	open  chan struct{} // closed while the gate is open
	delay time.Duration
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		g.open = make(chan struct{})
	default:
	}
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

func (g *gate) slow(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = d
}

// pass waits until bytes may be forwarded. It returns false if done is closed first.
func (g *gate) pass(done <-chan struct{}) bool {
	g.mu.Lock()
	opens, delay := g.open, g.delay
	g.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-done:
			return false
		}
	}
	select {
	case <-opens:
		return true
	case <-done:
		return false
	}
}
