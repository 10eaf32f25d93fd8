package upstream

import "errors"

// Causes that an [Error] of a model engine may wrap.
var (
	// ErrUnknownVersion means that the engine has not loaded the version.
	ErrUnknownVersion = errors.New("engine has not loaded the version")
	// ErrUnknownStream means that the engine has no stream of the attempt: it never
	// received the attempt, has restarted since, or has deleted the stream.
	ErrUnknownStream = errors.New("engine knows no stream of the attempt")
	// ErrStaleFence means that the engine refused an order because it has seen a higher
	// fencing token.
	ErrStaleFence = errors.New("engine has seen a higher fencing number")
	// ErrNotCached means that the engine's cache does not hold the prefix.
	ErrNotCached = errors.New("engine has not cached the prefix")
)
