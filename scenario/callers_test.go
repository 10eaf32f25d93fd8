package scenario

import (
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// callers makes the calls of a scenario and remembers what came of them.
type callers struct {
	caller *caller

	mu      sync.Mutex
	results map[string]result
	running map[string]chan struct{}
	pieces  map[string]*atomic.Int64
}

func newCallers() *callers {
	return &callers{caller: newCaller(), results: map[string]result{}, running: map[string]chan struct{}{}, pieces: map[string]*atomic.Int64{}}
}

// begin makes a call in the background under a name.
func (c *callers) begin(name string, o order) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[name] != nil {
		return eris.Errorf("call %s runs already", name)
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

// join waits for the named call and returns its result; a fault in the answer
// is an error.
func (c *callers) join(name string) (result, error) {
	c.mu.Lock()
	done := c.running[name]
	c.mu.Unlock()
	if done == nil {
		return result{}, eris.Errorf("there is no call %s", name)
	}
	<-done
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, name)
	r := c.results[name]
	return r, r.fault
}

func (c *callers) result(name string) (result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.results[name]
	if !ok {
		return r, eris.Errorf("there is no result of a call %s", name)
	}
	return r, nil
}

// came is the number of the last piece that the named call has got.
func (c *callers) came(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pieces[name]; p != nil {
		return p.Load()
	}
	return 0
}

func (c *callers) close() { c.caller.http.CloseIdleConnections() }
