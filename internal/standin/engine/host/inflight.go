package host

import "sync"

// inflight counts the requests that are being handled, so that Close can wait
// for the last of them: net/http's server does not wait for handlers whose
// connections it breaks.
type inflight struct {
	mu     sync.Mutex
	count  int
	closed bool
	// empty is closed when the last request has left after close.
	empty chan struct{}
}

// enter reports whether the request may be handled.
func (f *inflight) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.count++
	return true
}

func (f *inflight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.closed && f.count == 0 {
		close(f.empty)
	}
}

// drain lets no more requests in and waits for the present ones.
func (f *inflight) drain() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	f.empty = make(chan struct{})
	if f.count == 0 {
		close(f.empty)
	}
	empty := f.empty
	f.mu.Unlock()
	<-empty
}
