package model

import "time"

// Cached reports whether the prefix is in the cache.
func (e *Engine) Cached(prefix uint64) bool { return e.cache.has(prefix) }

// Import puts a prefix into the cache that another engine has exported.
func (e *Engine) Import(now time.Duration, prefix uint64) { e.store(now, prefix) }

// CacheEvents appends the published cache events that follow seq, as a reader
// would see them at now.
func (e *Engine) CacheEvents(now time.Duration, seq uint64, out []CacheEvent) []CacheEvent {
	return e.log.after(now, seq, out)
}

func (e *Engine) store(at time.Duration, prefix uint64) {
	stored, evicted, gone := e.cache.store(prefix)
	if evicted {
		e.log.add(at, Evicted, gone)
	}
	if stored {
		e.log.add(at, Stored, prefix)
	}
}
