package gateway

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// memoryAccount bounds what the process holds for all callers and upstreams together: bodies of
// requests, buffered answers and parts of events. It is reserved before it is read.
type memoryAccount struct {
	limit int64 // 0 for no limit
	used  atomic.Int64
}

// newMemoryAccount returns the account of a process with a memory limit in MiB; 0 for none.
func newMemoryAccount(memoryMB int) *memoryAccount {
	return &memoryAccount{limit: int64(heldFraction * float64(memoryMB) * (1 << 20))}
}

// reserve takes n bytes from the account; it reports whether they are left.
func (m *memoryAccount) reserve(n int64) bool {
	if used := m.used.Add(n); m.limit > 0 && used > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

// heldMemory is what one request holds of a memoryAccount. It is safe for concurrent use.
type heldMemory struct {
	account *memoryAccount

	mu       sync.Mutex
	bytes    int64
	released bool
}

// reserve takes n bytes for the request; it reports whether they are left.
func (h *heldMemory) reserve(n int64) bool {
	if h == nil {
		return true // a request that is only explained
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released || !h.account.reserve(n) {
		return false
	}
	h.bytes += n
	return true
}

// release returns all that the request holds.
func (h *heldMemory) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.account.used.Add(-h.bytes)
	h.bytes, h.released = 0, true
}

var errNoMemory = errors.New("the memory for bodies and answers is in use")

// unaccountedBytes is what each body, answer and event may take without a reservation.
const unaccountedBytes = 16 << 10

// readWhole reads to the end, or until reserve fails: then it returns what it has read and
// errNoMemory. length is the stated length, negative for none.
func readWhole(from io.Reader, length int64, reserve func(int64) bool) ([]byte, error) {
	size := int64(unaccountedBytes)
	if length > size {
		if !reserve(length) {
			return nil, errNoMemory
		}
		size = length
	} else if length >= 0 {
		size = length
	}
	buf := make([]byte, 0, size+1) // a further byte shows whether the end is reached
	for {
		n, err := from.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return buf, err
		case len(buf) < cap(buf):
			continue
		}
		size = max(int64(len(buf)), unaccountedBytes)
		if !reserve(size) {
			return buf, errNoMemory
		}
		grown := make([]byte, len(buf), 2*size+1)
		copy(grown, buf)
		buf = grown
	}
}
