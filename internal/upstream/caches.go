package upstream

import "context"

// CacheEvent is one change of an engine's prefix cache. Events are published with a
// delay.
type CacheEvent struct {
	// Seq is the sequence number. A gap means that events are lost; a restart of the
	// sequence means that the engine has restarted.
	Seq uint64 `json:"seq"`
	// Prefix is the hash of the prefix.
	Prefix uint64 `json:"prefix"`
	// Stored is true if the prefix was added to the cache, false if it was evicted.
	Stored bool `json:"stored"`
}

// Caches is the interface of the prefix caches of model engines. All errors are of type
// *[Error].
type Caches interface {
	// CacheEvents returns the published events after sequence number seq.
	CacheEvents(ctx context.Context, addr string, seq uint64) ([]CacheEvent, error)
	// ExportPrefix returns the KV cache of a prefix. The error wraps [ErrNotCached] if
	// the engine does not hold the prefix.
	ExportPrefix(ctx context.Context, addr string, prefix uint64) ([]byte, error)
	// ImportPrefix stores the KV cache of a prefix in an engine.
	ImportPrefix(ctx context.Context, addr string, prefix uint64, kv []byte) error
}
