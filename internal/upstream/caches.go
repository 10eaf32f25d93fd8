package upstream

import "context"

// CacheEvent is one change of an engine's prefix cache. Events come late; a
// missing Seq is an event that never comes, and a Seq that begins anew means
// that the engine has restarted.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	// Stored says that the prefix came into the cache; else it went.
	Stored bool `json:"stored"`
}

// Caches reaches the prefix caches of model engines. All errors are of type
// *[Error].
type Caches interface {
	// CacheEvents returns the published events that follow seq.
	CacheEvents(ctx context.Context, addr string, seq uint64) ([]CacheEvent, error)
	// ExportPrefix returns a prefix's KV cache; an engine that does not have
	// it is an error that wraps [ErrNotCached].
	ExportPrefix(ctx context.Context, addr string, prefix uint64) ([]byte, error)
	// ImportPrefix gives an engine a prefix's KV cache.
	ImportPrefix(ctx context.Context, addr string, prefix uint64, kv []byte) error
}
