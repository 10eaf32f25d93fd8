package scenario

import (
	"sync"
	"time"
)

// gate lets bytes between two processes pass, slows them or holds them back.
type gate struct {
	mu    sync.Mutex
	opens chan struct{} // closed while the gate is open
	delay time.Duration
}

func newGate() *gate {
	g := &gate{opens: make(chan struct{})}
	close(g.opens)
	return g
}

func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opens:
		g.opens = make(chan struct{})
	default:
	}
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opens:
	default:
		close(g.opens)
	}
}

func (g *gate) slow(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = d
}

// pass waits until bytes may go on; false when done came first.
func (g *gate) pass(done <-chan struct{}) bool {
	g.mu.Lock()
	opens, delay := g.opens, g.delay
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
