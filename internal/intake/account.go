package intake

import (
	"sync"
	"time"
)

// Account is the memory that all requests of a process may hold together: heads, bodies, buffered
// answers and parts of events. It is safe for concurrent use.
type Account struct {
	limit int64 // 0 for no limit
	now   func() time.Time
	// noteEvicted is called for each request that made room for another one.
	noteEvicted func()

	mu   sync.Mutex
	used int64
	// unfinished are the holdings of requests that are still being received.
	unfinished map[*Holding]struct{}
}

// stalledAfter is how long a client may send less than a block of its request until the request may be
// evicted.
const stalledAfter = 500 * time.Millisecond

// NewAccount returns an account of a number of bytes; 0 for no limit.
func NewAccount(limit int64) *Account {
	return &Account{limit: limit, now: time.Now, noteEvicted: func() {}, unfinished: map[*Holding]struct{}{}}
}

// OnEvicted sets the function that is called for each evicted request.
func (a *Account) OnEvicted(f func()) { a.noteEvicted = f }

// Used returns the number of reserved bytes.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Hold returns the holding of a request that is complete. A nil account has no limit.
func (a *Account) Hold() *Holding {
	if a == nil {
		return nil
	}
	return &Holding{account: a}
}

// holdUnfinished returns the holding of a request that is being received. evict is called if it has to
// make room.
func (a *Account) holdUnfinished(evict func()) *Holding {
	return &Holding{account: a, evict: evict, unfinished: true, progressAt: a.now()}
}

// reserve takes bytes for a holding. If they are not left, stalled requests are evicted.
func (a *Account) reserve(h *Holding, n int64) bool {
	a.mu.Lock()
	if h.released {
		a.mu.Unlock()
		return false
	}
	var evicted []*Holding
	fits := true
	for a.limit > 0 && a.used+n > a.limit && fits {
		victim := a.stalled(h)
		if fits = victim != nil; fits {
			a.release(victim)
			victim.evicted = true
			evicted = append(evicted, victim)
		}
	}
	if fits {
		a.used += n
		h.bytes += n
		if h.unfinished {
			a.unfinished[h] = struct{}{}
		}
	}
	a.mu.Unlock()
	for _, victim := range evicted {
		a.noteEvicted()
		victim.evict()
	}
	return fits
}

// stalled returns the unfinished holding without progress for longest; nil if there is none for
// stalledAfter. The caller holds mu.
func (a *Account) stalled(except *Holding) *Holding {
	var longest *Holding
	for h := range a.unfinished {
		if h != except && (longest == nil || h.progressAt.Before(longest.progressAt)) {
			longest = h
		}
	}
	if longest == nil || a.now().Sub(longest.progressAt) < stalledAfter {
		return nil
	}
	return longest
}

// release returns what a holding has. The caller holds mu.
func (a *Account) release(h *Holding) {
	a.used -= h.bytes
	h.bytes, h.released = 0, true
	delete(a.unfinished, h)
}
