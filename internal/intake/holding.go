package intake

import "time"

// Holding is what one request holds of an [Account]. It is safe for concurrent use.
type Holding struct {
	account *Account
	// evict ends the receipt of the request.
	evict func()

	// The account's mutex guards the fields below.
	bytes    int64
	released bool
	evicted  bool
	// unfinished is set while the request is being received. progressAt is when it began or last
	// received a block.
	unfinished bool
	progressAt time.Time
	// partial counts the bytes since the last block.
	partial int
}

// progressBytes is the size of a block that counts as progress.
const progressBytes = 16 << 10

// Reserve takes n bytes for the request; it reports whether they are left. A nil holding has no limit.
func (h *Holding) Reserve(n int64) bool { return h == nil || h.account.reserve(h, n) }

// Release returns all that the request holds; nothing can be reserved afterwards.
func (h *Holding) Release() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.release(h)
}

// Complete records that the whole request has been received: it is not evicted any more. It returns false
// if it has been.
func (h *Holding) Complete() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.unfinished = false
	delete(h.account.unfinished, h)
	return !h.evicted
}

// Evicted reports whether the request has made room for another one.
func (h *Holding) Evicted() bool {
	if h == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.evicted
}

// received records bytes of the request. It returns true if they complete a block.
func (h *Holding) received(n int) bool {
	h.partial += n // only the goroutine that reads the connection
	if h.partial < progressBytes {
		return false
	}
	h.partial = 0
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.progressAt = h.account.now()
	return true
}
