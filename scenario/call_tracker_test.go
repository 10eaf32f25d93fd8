package scenario

import (
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// callTracker runs the calls of a scenario and stores their results by name.
type callTracker struct {
	caller *caller

	mu      sync.Mutex
	results map[string]result
	running map[string]chan struct{}
	pieces  map[string]*atomic.Int64
}

func newCallTracker(log *callLog) *callTracker {
	return &callTracker{caller: newCaller(log), results: map[string]result{}, running: map[string]chan struct{}{}, pieces: map[string]*atomic.Int64{}}
}

// start runs a call in the background under the given name.
func (c *callTracker) start(name string, o call) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[name] != nil {
		return eris.Errorf("call %s is already running", name)
	}
	done := make(chan struct{})
	c.running[name] = done
	o.progress = new(atomic.Int64)
	c.pieces[name] = o.progress
	go func() {
		defer close(done)
		r := c.caller.do(o)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.results[name] = r
	}()
	return nil
}

// join waits for the named call and returns its result. An invalid answer is returned as an
// error.
func (c *callTracker) join(name string) (result, error) {
	c.mu.Lock()
	done := c.running[name]
	c.mu.Unlock()
	if done == nil {
		return result{}, eris.Errorf("call %s is not running", name)
	}
	<-done
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, name)
	r := c.results[name]
	return r, r.answerErr
}

func (c *callTracker) result(name string) (result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.results[name]
	if !ok {
		return r, eris.Errorf("call %s has no result", name)
	}
	return r, nil
}

// lastPiece returns the number of the last piece that the named call has received.
func (c *callTracker) lastPiece(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pieces[name]; p != nil {
		return p.Load()
	}
	return 0
}

func (c *callTracker) close() { c.caller.http.CloseIdleConnections() }
