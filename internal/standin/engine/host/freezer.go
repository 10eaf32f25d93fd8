package host

import "sync"

// freezer blocks every request while the process is frozen. A request that arrives
// meanwhile runs after the thaw, even if its caller has gone, as in a paused process
// that resumes.
type freezer struct {
	mu sync.Mutex
	// thawed is open while the process is frozen, and nil otherwise.
	thawed chan struct{}
}

func (f *freezer) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thawed == nil {
		f.thawed = make(chan struct{})
	}
}

func (f *freezer) thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.thawed != nil {
		close(f.thawed)
		f.thawed = nil
	}
}

// wait returns once the process is not frozen.
func (f *freezer) wait() {
	for {
		f.mu.Lock()
		thawed := f.thawed
		f.mu.Unlock()
		if thawed == nil {
			return
		}
		<-thawed
	}
}
