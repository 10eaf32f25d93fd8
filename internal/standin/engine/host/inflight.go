package host

import "sync"

// inflight counts the requests that are being handled, so that Close can wait for all
// of them. The server of net/http does not wait for handlers whose connections it
// closes.
type inflight struct {
	mu     sync.Mutex
	count  int
	closed bool
	// empty is closed when closed is set and no request is left.
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

// drain rejects further requests and waits for the current ones.
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
