package model

import "time"

// Cached reports whether the prefix is in the cache.
func (e *Engine) Cached(prefix uint64) bool { return e.cache.has(prefix) }

// Import adds a prefix that another engine exported to the cache.
func (e *Engine) Import(now time.Duration, prefix uint64) { e.store(now, prefix) }

// CacheEvents appends the cache events after the sequence number seq that are published
// at now to out.
func (e *Engine) CacheEvents(now time.Duration, seq uint64, out []CacheEvent) []CacheEvent {
	return e.log.after(now, seq, out)
}

// store caches a prefix and records the resulting cache events.
func (e *Engine) store(at time.Duration, prefix uint64) {
	stored, evicted, victim := e.cache.store(prefix)
	if evicted {
		e.log.add(at, Evicted, victim)
	}
	if stored {
		e.log.add(at, Stored, prefix)
	}
}
